"""Tests of the load forecast; each test names the load pattern that it covers."""

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
    """Queues whose arrival rate rises suddenly to several times its mean."""

    def setUp(self):
        self.trend = ArrivalTrend(CFG)

    def record_jobs(self, *times_ms, steps=STEPS):
        for at_ms in times_ms:
            self.trend.record_job("p", at_ms, steps)

    def test_a_pool_without_jobs_has_no_expected_load(self):
        self.assertEqual(self.trend.expected_cpu("p", 0), 0)

    def test_a_rising_rate_counts_within_the_short_window(self):
        self.record_jobs(0, 100, 200)
        # Three jobs in half a second, each with four tasks of a second.
        self.assertEqual(self.trend.expected_cpu("p", 200), 6 * 4000)

    def test_a_single_job_is_not_a_rising_rate(self):
        self.record_jobs(0, 1000)
        self.assertEqual(self.trend.expected_cpu("p", 1000), int(2 / 1.5 * 4000))

    def test_a_peak_is_forgotten_after_the_long_window(self):
        self.record_jobs(0, 100, 200)
        self.assertEqual(self.trend.expected_cpu("p", 1650), int(1 / 1.5 * 4000))
        self.assertEqual(self.trend.expected_cpu("p", 1700), 0)

    def test_work_beyond_the_lead_time_does_not_count(self):
        self.record_jobs(0, steps=(make_step(estimate_ms=5000),))
        self.assertEqual(self.trend.expected_cpu("p", 0), int(2 / 1.5 * 4000))

    def test_a_later_step_starts_at_the_end_of_the_earlier_steps(self):
        first = make_step(estimate_ms=1500)
        second = make_step(estimate_ms=1500, after=(0,))
        self.record_jobs(0, steps=(first, second))
        self.assertEqual(self.trend.expected_cpu("p", 0), int(2 / 1.5 * 4000))

    def test_long_running_tasks_are_not_expected_again(self):
        self.record_jobs(0, steps=(make_step(is_long_running=True),))
        self.assertEqual(self.trend.expected_cpu("p", 0), 0)

    def test_each_pool_has_its_own_forecast(self):
        self.record_jobs(0)
        self.assertEqual(self.trend.expected_cpu("other", 0), 0)


if __name__ == "__main__":
    unittest.main()
