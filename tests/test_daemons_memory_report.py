"""Tests of the log lines about refusals for lack of memory."""

import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.daemons._memory_report import MemoryReport
from redwingslip.http import BodyRefusedError, HttpLimits, ServerMemory
from redwingslip.observe import EventName, new_metrics
from redwingslip.settings import MetricsSettings


class TestMemoryReport(unittest.TestCase):
    """Refusals by a budget that is used up."""

    def test_log_is_bounded_and_loses_no_count(self):
        """Guards against a crowd of clients that floods the log."""
        clock = ManualClock()
        events = []
        cfg = HttpLimits(max_body_bytes=100, max_total_body_bytes=100)
        memory = ServerMemory(cfg, machine_bytes=1, clock=clock)
        sink = type("Sink", (), {"emit": staticmethod(events.append)})
        metrics = new_metrics(MetricsSettings(), process_id="p")
        MemoryReport(memory, clock=clock, events=sink, metrics=metrics)
        memory.bodies.claim().reserve(100)
        for seconds in (0, 4, 5, 6):
            clock.advance(timedelta(seconds=seconds))
            for _ in range(50):
                with self.assertRaises(BodyRefusedError):
                    memory.bodies.claim().reserve(1)
        self.assertEqual({event.name for event in events}, {EventName.MEMORY_REFUSED})
        details = [event.detail for event in events]
        self.assertEqual(len(details), 2, details)
        self.assertIn("body-budget: 1;", details[0])
        self.assertIn("body-budget: 150;", details[1])
        self.assertIn("100 of 100 bytes", details[1])
