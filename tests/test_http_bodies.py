"""Tests of the decoding of request bodies: which field is refused."""

import unittest

import msgspec

from redwingslip.http import FieldError, decode_json, strict_convert
from tests.support_odd import DEEP_BODY


class _Doc(msgspec.Struct):
    number: int


class TestDecodeJson(unittest.TestCase):
    """Bodies that are no JSON."""

    def test_json_is_decoded(self):
        self.assertEqual(decode_json(b'{"number":1}'), {"number": 1})

    def test_any_other_body_is_refused(self):
        """Guards against a server error by a body that is nested very deeply."""
        for body in (b"", b"{", b"\xff", b"1e400", DEEP_BODY):
            with self.subTest(body=body[:9]), self.assertRaises(FieldError) as caught:
                decode_json(body)
            self.assertEqual(caught.exception.field, "body")


class TestStrictConvert(unittest.TestCase):
    """Values that are not of the type."""

    def test_the_field_is_named(self):
        for value, field in (
            ([], "body"),
            ({}, "body"),
            ({"number": "x"}, "number"),
            ({"number": 1, "numbers": 2}, "numbers"),
        ):
            with self.subTest(value=value), self.assertRaises(FieldError) as caught:
                strict_convert(value, _Doc)
            self.assertEqual(caught.exception.field, field)
