"""Tests of the memory of the calls that a leader answers."""

import tracemalloc
import unittest

import msgspec

from redwingslip.daemons._call_memory import claim_call
from redwingslip.decoding import decoded_bytes
from redwingslip.http import BodyRefusedError, HttpLimits, ServerMemory
from redwingslip.peers import CallSource, RelayedCall

MIB = 1 << 20
# 1 MB each.
TEXTS = b"[" + b'"abc",' * 166_000 + b'"abc"]'
NUMBERS = b"[" + b"12345," * 166_000 + b"12345]"
LISTS = b"[" + b"[]," * 333_000 + b"[]]"
OBJECTS = b"[" + b'{"a":1},' * 125_000 + b'{"a":1}]'
JOB = b'{"steps":[{"count":1,"cpu":500,"memMb":100}],"spec":"%b"}' % (b"x" * 2_000)


def make_call(body, source=CallSource.CALLERS):
    """Return a relayed call."""
    return RelayedCall(
        number=1, source=source, method="POST", host="h", path="/", body=body
    )


class TestDecodedBytes(unittest.TestCase):
    """The estimate of the size of a decoded document."""

    def test_covers_what_decoding_takes(self):
        """Guards against documents that take far more memory than they count."""
        for body in (TEXTS, NUMBERS, LISTS, OBJECTS, JOB):
            with self.subTest(body[:10]):
                tracemalloc.start()
                value = msgspec.json.decode(body)
                n_bytes, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                del value
                self.assertGreaterEqual(decoded_bytes(body), n_bytes)
                self.assertLess(decoded_bytes(body), 4 * n_bytes)


class TestCallMemory(unittest.TestCase):
    """A leader whose bodies may use 16 MiB."""

    def setUp(self):
        limits = HttpLimits(max_total_body_bytes=16 * MIB)
        self.bodies = ServerMemory(limits, machine_bytes=0).bodies

    def claim(self, body, source=CallSource.CALLERS, *, is_own=False):
        """Return the claim of a call."""
        return claim_call(self.bodies, make_call(body, source), is_own=is_own)

    def test_decoded_bodies_are_bounded(self):
        """Guards against decoded bodies that are kept during slow commits."""
        claims = [self.claim(TEXTS)]
        with self.assertRaises(BodyRefusedError):
            self.claim(TEXTS)
        # An operator's configuration and ordinary jobs still fit.
        source = CallSource.CONTROL
        claims += [self.claim(TEXTS[: 200 << 10], source, is_own=True)]
        claims += [self.claim(JOB) for _ in range(150)]
        self.assertLessEqual(self.bodies.n_bytes, self.bodies.max_bytes)
        for claim in claims:
            claim.release()
        self.assertEqual(self.bodies.n_bytes, 0)

    def test_single_body_of_any_size_is_accepted(self):
        """Guards against a valid body that is refused for ever."""
        body = (OBJECTS * 4)[: 4 * MIB]
        own = self.bodies.claim()
        own.reserve(len(body))
        self.claim(body, is_own=True)
        self.claim(JOB)
