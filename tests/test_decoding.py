"""Tests of the decoding of what other programs write."""

import asyncio
import unittest

import msgspec

from redwingslip.decoding import (
    ENTRIES_PER_TURN,
    UndecodableError,
    decode_document,
    decode_page,
    is_whole,
    map_in_turns,
)
from tests.support_odd import DEEP_LIST, N_LEVELS


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

    def test_documents_of_very_many_values_are_undecodable(self):
        """Guards against documents that take a hundred times their size in memory."""
        decoder = msgspec.json.Decoder(list[msgspec.Raw])
        for value in (b"{}", b"[]"):
            data = b"[" + b",".join([value] * 200_000) + b"]"
            self.assertEqual(len(decode_document(decoder, data)), 200_000)
            data = b"[" + b",".join([value] * 210_000) + b"]"
            with self.assertRaises(UndecodableError):
                decode_document(decoder, data)


class TestIsWhole(unittest.TestCase):
    """Texts that are whole numbers."""

    def test_digits(self):
        for text in ("0", "007", "9" * 16):
            self.assertTrue(is_whole(text), text)
        for text in ("", "-1", "+1", "1.5", "1e3", "\u0661", "1\n", "9" * 17):
            self.assertFalse(is_whole(text), text)


class TestMapInTurns(unittest.IsolatedAsyncioTestCase):
    """Conversion of a document with many entries."""

    async def test_other_work_has_turns_meanwhile(self):
        """Guards against a large document that costs a leader its lease."""
        numbers = range(3 * ENTRIES_PER_TURN + 1)
        n_done, counts = 0, []

        def convert(number):
            nonlocal n_done
            n_done += 1
            return number

        async def look():
            while n_done < len(numbers):
                counts.append(n_done)
                await asyncio.sleep(0)

        values, _ = await asyncio.gather(map_in_turns(convert, numbers), look())
        self.assertEqual(values, tuple(numbers))
        self.assertEqual(counts, [n * ENTRIES_PER_TURN for n in (1, 2, 3)])


class TestDecodePage(unittest.IsolatedAsyncioTestCase):
    """Lists of entries, some of them nested very deeply."""

    decoder = msgspec.json.Decoder(dict[str, list[msgspec.Raw]])

    async def decode(self, data):
        page = await decode_page(self.decoder, data)
        return {name: [bytes(raw) for raw in raws] for name, raws in page.items()}

    async def test_entries_nested_too_deeply_are_left_out(self):
        """Guards against a list that can't be read for one of its entries."""
        deep = b'{"a":"]","b":' + DEEP_LIST + b"}"
        data = b'{"odd":[1,%b,{"x":"}]\\""},%b],"good":[[[2]]]}' % (deep, deep)
        page = await self.decode(data)
        self.assertEqual(page["odd"], [b"1", b'{"x":"}]\\""}'])
        self.assertEqual(page["good"], [b"[[2]]"])

    async def test_what_is_no_page_is_undecodable(self):
        for data in (
            b"",
            b"[]",
            b'{"a":1}',
            DEEP_LIST,
            b'{"a":' + DEEP_LIST,
            b'{"a":[' + DEEP_LIST + b',"\\"',
            b'{"a":[' + b"[" * N_LEVELS,
            b"]" * N_LEVELS,
            b'{"a":[' + DEEP_LIST * 3 + b"]}",
        ):
            with self.subTest(data=data[:9]), self.assertRaises(UndecodableError):
                await self.decode(data)
