"""Tests of the decoding of what other programs write."""

import unittest

import msgspec

from redwingslip.decoding import UndecodableError, decode_document
from tests.support_odd import DEEP_LIST


class TestDecodeDocument(unittest.TestCase):
    """Whatever is no document of the type ends in one error."""

    def test_a_document_is_decoded(self):
        decoder = msgspec.json.Decoder(dict[str, int])
        self.assertEqual(decode_document(decoder, b'{"a":1}'), {"a": 1})

    def test_everything_else_is_undecodable(self):
        """Guards against readers that end by an error that they don't expect."""
        decoder = msgspec.json.Decoder(dict[str, int])
        for data in (b"", b"{", b"\xff", b'{"\xff":1}', b"[]", b"null", DEEP_LIST):
            with self.subTest(data=data[:9]), self.assertRaises(UndecodableError):
                decode_document(decoder, data)
