"""Tests of how much time the rounds of placement take, and of its bound.

The pattern is a peak in which VMs answer and commits end all the time, each of which
begins a round, while hundreds of tasks wait so that a round takes milliseconds.
"""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.observe import EventName
from redwingslip.scheduling import LeaderPolicy, Scheduler
from redwingslip.scheduling._round_load import MAX_PAUSE, PACED_SHARE, RoundLoad
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_state,
)
from tests.support_virtual_time import LoopClock, run_virtually

MS = timedelta(milliseconds=1)


class TestRoundLoad(unittest.TestCase):
    """When a busy leader says so in its log."""

    def setUp(self):
        self.term = FakeTerm(make_state())
        self.events = []
        self.term.emit = lambda name, **fields: self.events.append(
            (name, fields["detail"])
        )
        self.load = RoundLoad(self.term)

    def record(self, n_rounds, duration):
        """Record rounds that begin every 100 ms."""
        for number in range(n_rounds):
            began_at = number * 100 * MS
            self.load.record(began_at, began_at + duration)

    def test_rounds_that_take_much_of_the_time_are_reported_once_a_second(self):
        self.record(21, 40 * MS)
        self.assertEqual([name for name, _ in self.events], [EventName.WARNING] * 2)
        self.assertEqual(
            self.events[0][1], "11 rounds of placement took 440 of 1040 ms"
        )

    def test_short_rounds_are_not_reported(self):
        self.record(21, 20 * MS)
        self.assertEqual(self.events, [])

    def test_rounds_pause_in_proportion_to_their_duration(self):
        self.load.record(0 * MS, 3 * MS)
        self.assertEqual(self.load.pause(3 * MS), 27 * MS)
        self.assertEqual(self.load.pause(20 * MS), 10 * MS)
        self.assertEqual(self.load.pause(31 * MS), 0 * MS)

    def test_no_task_waits_long_for_the_next_round(self):
        self.load.record(0 * MS, 40 * MS)
        self.assertEqual(self.load.pause(40 * MS), MAX_PAUSE)


class SlowRounds:
    """Rounds of placement that take a while."""

    DURATION_S = 0.004

    def __init__(self, loop):
        self.loop = loop
        self.n_rounds = 0
        self.backlog = {}

    def decide(self):
        """Take some time, and start nothing."""
        self.n_rounds += 1
        self.loop.advance(self.DURATION_S)
        return ()


class TestBusyLeader(unittest.TestCase):
    """A leader whose VMs answer every millisecond."""

    async def answer(self, loop):
        """Let VMs answer for a second; return how long the rounds took, in seconds."""
        scheduler = Scheduler(
            term=FakeTerm(make_state(), LoopClock(loop)),
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )
        rounds = scheduler._rounds = SlowRounds(loop)
        scheduler.begin()
        began_at = loop.time()
        while loop.time() < began_at + 1:
            scheduler.note_contact()
            await asyncio.sleep(0.001)
        scheduler.close()
        return rounds.n_rounds * rounds.DURATION_S

    def test_answers_of_many_vms_share_a_round(self):
        """Guards against a leader that is late since it places after each answer."""
        self.assertLess(run_virtually(self.answer), 1.2 * PACED_SHARE)


if __name__ == "__main__":
    unittest.main()
