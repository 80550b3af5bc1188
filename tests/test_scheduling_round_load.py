"""Tests of the report of how much time the rounds of placement take."""

import unittest
from datetime import timedelta

from redwingslip.observe import EventName
from redwingslip.scheduling._round_load import RoundLoad
from tests.support_scheduling import FakeTerm, make_state

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


if __name__ == "__main__":
    unittest.main()
