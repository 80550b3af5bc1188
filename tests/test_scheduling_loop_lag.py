"""Tests of the measurement of how late the leader's event loop is.

The pattern is a peak in which the leader handles hundreds of answers in each iteration.
"""

import asyncio
import unittest

from redwingslip.observe import EventName
from redwingslip.scheduling._loop_lag import LoopLag
from tests.support_scheduling import FakeTerm, make_state
from tests.support_virtual_time import LoopClock, run_virtually

HISTORY_S = 3.5


class TestLoopLag(unittest.TestCase):
    """When a leader that is late says so in its log."""

    def play(self, busy_s):
        """Run a loop whose iterations take a while; return what was logged."""
        events = []

        async def work(loop):
            term = FakeTerm(make_state(), LoopClock(loop))
            term.emit = lambda name, *, detail: events.append((name, detail))
            task = asyncio.create_task(LoopLag(term).run())
            while loop.time() < HISTORY_S:
                loop.advance(busy_s)
                await asyncio.sleep(0.001)
            task.cancel()

        run_virtually(work)
        return events

    def test_a_late_loop_is_reported_at_most_once_a_second(self):
        events = self.play(busy_s=0.15)
        self.assertIn(len(events), (1, 2, 3))
        self.assertEqual({name for name, _ in events}, {EventName.WARNING})
        self.assertRegex(
            events[0][1],
            r"^the event loop is \d+ ms late on average, at most \d+ ms$",
        )

    def test_a_loop_with_time_left_is_not_reported(self):
        self.assertEqual(self.play(busy_s=0.005), [])


if __name__ == "__main__":
    unittest.main()
