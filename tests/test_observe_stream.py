"""Tests of writing log lines to a reader that may be slow."""

import os
import time
import unittest

from redwingslip.observe._stream import LineStream

LINE = b"x" * 999 + b"\n"


class TestLineStream(unittest.TestCase):
    """A slow reader delays no writer, and the memory for waiting lines is limited."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def test_lines_arrive_in_order(self):
        stream = LineStream(self.writer, 100)
        for number in range(20):
            self.assertTrue(stream.write(b"%d\n" % number))
        data = b""
        while data.count(b"\n") < 20:
            data += os.read(self.reader, 4096)
        os.close(self.writer)
        self.assertEqual(data.split(), [b"%d" % number for number in range(20)])

    def test_a_stalled_reader_delays_no_writer(self):
        stream = LineStream(self.writer, 50)
        began = time.monotonic()
        for _ in range(1_000):
            stream.write(LINE)
        self.assertLess(time.monotonic() - began, 1)
        self.assertGreater(stream.n_dropped, 500)
        # Reading until the queue is empty ends the thread's blocked write.
        while os.read(self.reader, 65536) and stream._pending:
            pass
