"""Tests of the limit on what libraries log."""

import logging
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.daemons._log_limit import MAX_RECORDS, LogLimit


class TestLogLimit(unittest.TestCase):
    """A logger that clients cause to log."""

    def test_records_are_limited_and_those_left_out_are_counted(self):
        """Guards against clients that fill the disk with lines about bad input."""
        clock = ManualClock()
        logger = logging.getLogger("redwingslip.tests.log_limit")
        limit = LogLimit(clock)
        logger.addFilter(limit)
        self.addCleanup(logger.removeFilter, limit)
        with self.assertLogs(logger) as logs:
            for _ in range(MAX_RECORDS + 7):
                logger.warning("bad input of %s", "x")
            self.assertEqual(len(logs.output), MAX_RECORDS)
            clock.advance(timedelta(seconds=10))
            logger.warning("bad input of %s", "y")
        self.assertEqual(len(logs.output), MAX_RECORDS + 1)
        self.assertIn("bad input of y (7 records were left out", logs.output[-1])
