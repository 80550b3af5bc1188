"""Tests of what arrivals let expect; each names the load that it answers."""

import unittest
from datetime import timedelta

from redwingslip.jobs import Amounts, StepSpec
from redwingslip.placement import ArrivalSettings, ArrivalTrend

CFG = ArrivalSettings(
    lead=timedelta(seconds=2),
    short_window=timedelta(seconds=0.5),
    short_window_jobs=3,
    long_window=timedelta(seconds=1.5),
)


def make_step(**options):
    """Return a step of four tasks of one core and one second each."""
    fields = {"n_tasks": 4, "need": Amounts(1000, 1), "estimate_ms": 1000, **options}
    return StepSpec(**fields)


STEPS = (make_step(),)


class TestArrivalTrend(unittest.TestCase):
    """Queues that rise to several times their mean within a moment."""

    def setUp(self):
        self.trend = ArrivalTrend(CFG)

    def note(self, *times_ms, steps=STEPS):
        for at_ms in times_ms:
            self.trend.record_job("p", at_ms, steps)

    def test_nothing_is_expected_of_a_pool_that_was_handed_nothing(self):
        self.assertEqual(self.trend.expected_cpu("p", 0), 0)

    def test_a_rise_shows_within_the_short_window(self):
        self.note(0, 100, 200)
        # Three jobs in half a second, each with four tasks of a second.
        self.assertEqual(self.trend.expected_cpu("p", 200), 6 * 4000)

    def test_a_single_job_is_no_rise(self):
        self.note(0, 1000)
        self.assertEqual(self.trend.expected_cpu("p", 1000), int(2 / 1.5 * 4000))

    def test_the_end_of_a_peak_is_forgotten_after_the_long_window(self):
        self.note(0, 100, 200)
        self.assertEqual(self.trend.expected_cpu("p", 1650), int(1 / 1.5 * 4000))
        self.assertEqual(self.trend.expected_cpu("p", 1700), 0)

    def test_work_beyond_the_time_looked_ahead_does_not_count(self):
        self.note(0, steps=(make_step(estimate_ms=5000),))
        self.assertEqual(self.trend.expected_cpu("p", 0), int(2 / 1.5 * 4000))

    def test_a_later_step_counts_from_the_end_of_the_earlier_ones(self):
        first = make_step(estimate_ms=1500)
        second = make_step(estimate_ms=1500, after=(0,))
        self.note(0, steps=(first, second))
        self.assertEqual(self.trend.expected_cpu("p", 0), int(2 / 1.5 * 4000))

    def test_tasks_that_run_until_cancelled_are_not_expected_again(self):
        self.note(0, steps=(make_step(is_long_running=True),))
        self.assertEqual(self.trend.expected_cpu("p", 0), 0)

    def test_pools_are_told_apart(self):
        self.note(0)
        self.assertEqual(self.trend.expected_cpu("other", 0), 0)


if __name__ == "__main__":
    unittest.main()
