"""Tests of the learned run times; the pattern is estimates that are far off."""

import math
import random
import unittest
from datetime import timedelta

from redwingslip.decoding import MAX_WHOLE
from redwingslip.workers import (
    ProgressSettings,
    RunProgress,
    RunTimeModel,
    RunTimeSettings,
    StepKey,
)
from redwingslip.workers._run_times import MAX_RUN_TIME

MS = timedelta(milliseconds=1)
QUEUE = "checks"
CFG = ProgressSettings()


def step_key(job=0):
    """Return the key of the first step of a job."""
    return StepKey(f"job-{job}", 0, 0)


def log_normal(rng, median, deviation):
    """Return a random duration with a log-normal distribution."""
    return median * math.exp(rng.gauss(0, deviation))


class RunTimesCase(unittest.TestCase):
    """A test with run times of a queue whose estimates are wrong by factors."""

    def setUp(self):
        self.times = RunTimeModel(RunTimeSettings())
        self.rng = random.Random(7)

    def record(self, run_time, *, estimate, job=0, vm="vm-other"):
        """Record a finished run."""
        self.times.record(
            step_key(job), queue=QUEUE, vm_id=vm, estimate=estimate, run_time=run_time
        )

    def learn(self, *, estimate_error, n_jobs=64):
        """Record single runs of jobs whose true run time is about 1 s."""
        for job in range(1_000, 1_000 + n_jobs):
            run_time = log_normal(self.rng, 1_000 * MS, 0.5)
            estimate = log_normal(self.rng, run_time, estimate_error)
            self.record(run_time, estimate=estimate, job=job)

    def usual(self, *, estimate, job=0, vm="vm-1"):
        """Return the longest usual run time of a run."""
        return self.times.longest_usual(
            step_key(job), queue=QUEUE, vm_id=vm, estimate=estimate
        )


class TestMean(RunTimesCase):
    """Mean run times, for the sum of the work of many tasks."""

    def test_the_mean_includes_rare_long_runs(self):
        """Guards against planning more work than a pool can do."""
        self.learn(estimate_error=0.5)
        estimate = 1000 * MS
        mean = self.times.mean(QUEUE, estimate, max_correction=3.0)
        usual = self.times.expected(QUEUE, estimate)
        self.assertGreater(mean, 1.05 * usual)
        self.assertLess(mean, 1.5 * usual)

    def test_trust_in_learned_times_is_bounded(self):
        """Guards against run times of a few odd jobs that hide the work of others."""
        for job in range(10):
            self.record(MS, estimate=1000 * MS, job=job)
        mean = self.times.mean(QUEUE, 1000 * MS, max_correction=4.0)
        self.assertAlmostEqual(mean / MS, 250, places=6)
        unknown = self.times.mean("other", 1000 * MS, max_correction=4.0)
        self.assertEqual(unknown, 1000 * MS)


class TestExpected(RunTimesCase):
    """The run time to expect."""

    def test_estimate_counts_before_anything_is_known(self):
        self.learn(estimate_error=0.5, n_jobs=7)
        self.assertEqual(self.times.expected(QUEUE, 123 * MS), 123 * MS)

    def test_estimates_that_say_nothing_are_ignored(self):
        for job in range(64):
            run_time = log_normal(self.rng, 1_000 * MS, 0.3)
            estimate = log_normal(self.rng, 1_000 * MS, 2.0)
            self.record(run_time, estimate=estimate, job=job)
        for estimate in (50 * MS, 1_000 * MS, 20_000 * MS):
            expected = self.times.expected(QUEUE, estimate)
            self.assertAlmostEqual(expected / (1_000 * MS), 1.0, delta=0.4)

    def test_good_estimates_are_followed(self):
        self.learn(estimate_error=0.05)
        for estimate in (400 * MS, 1_000 * MS, 3_000 * MS):
            expected = self.times.expected(QUEUE, estimate)
            self.assertAlmostEqual(expected / estimate, 1.0, delta=0.2)

    def test_a_common_factor_of_all_estimates_is_learned(self):
        for job in range(20):
            run_time = log_normal(self.rng, 1_000 * MS, 0.5)
            self.record(run_time, estimate=run_time / 4, job=job)
        expected = self.times.expected(QUEUE, 250 * MS)
        self.assertAlmostEqual(expected / (1_000 * MS), 1.0, delta=0.1)

    def test_learned_times_are_nearer_than_estimates(self):
        self.learn(estimate_error=0.9)
        error_of_estimates = error_of_learned = 0.0
        for _ in range(500):
            run_time = log_normal(self.rng, 1_000 * MS, 0.5)
            estimate = log_normal(self.rng, run_time, 0.9)
            error_of_estimates += abs(math.log(estimate / run_time))
            expected = self.times.expected(QUEUE, estimate)
            error_of_learned += abs(math.log(expected / run_time))
        self.assertLess(error_of_learned, 0.7 * error_of_estimates)


class TestExtremes(RunTimesCase):
    """Estimates and percentages that say something absurd."""

    def test_an_absurd_estimate_gives_a_long_time(self):
        """Guards against a poll of a VM that fails each time by one of its runs."""
        for _ in range(RunTimeSettings().min_samples):
            self.record(1_000_000 * MS, estimate=1 * MS)
        absurd = MAX_WHOLE * MS
        self.assertEqual(self.times.expected(QUEUE, absurd), MAX_RUN_TIME)
        self.assertEqual(self.usual(estimate=absurd, job=1), MAX_RUN_TIME)
        self.assertLess(self.usual(estimate=2 * MS, job=1), MAX_RUN_TIME)

    def test_a_tiny_progress_is_none(self):
        """Guards against a poll of a VM that fails each time by one of its runs."""
        run = RunProgress(0 * MS, 0.0)
        for percent in (5e-324, 1e-12):
            run.update(100_000 * MS, percent)
            self.assertFalse(run.is_outlier(100_000 * MS, 1_000 * MS, CFG))
        run.update(100_000 * MS, 0.01)
        self.assertTrue(run.is_slow(100_000 * MS, 1_000 * MS, CFG))


class TestLongestUsual(RunTimesCase):
    """The bound above which a run is an outlier."""

    def test_nothing_is_usual_before_anything_is_known(self):
        self.assertIsNone(self.usual(estimate=100 * MS))

    def test_siblings_on_other_vms_decide(self):
        for run_time in (900 * MS, 1_000 * MS, 1_400 * MS):
            self.record(run_time, estimate=50 * MS)
        self.record(9_000 * MS, estimate=50 * MS, vm="vm-1")
        self.assertEqual(self.usual(estimate=50 * MS), 1_000 * MS)

    def test_forgotten_jobs_leave_nothing(self):
        for _ in range(3):
            self.record(900 * MS, estimate=50 * MS)
        self.times.forget_job("job-0")
        self.assertIsNone(self.usual(estimate=50 * MS))


class TestSlowRuns(RunTimesCase):
    """Which runs are stopped, with estimates that are wrong by up to ten times."""

    def is_slow(self, run_time, *, estimate, job):
        """Return whether a run would ever be stopped as slow before its end."""
        progress = RunProgress(timedelta(0), 0)
        polls = [i * 100 * MS for i in range(1, run_time // (100 * MS))]
        for now in polls:
            progress.update(now, int(100 * (now / run_time)))
            usual = self.usual(estimate=estimate, job=job)
            if usual is not None and progress.is_slow(now, usual, CFG):
                return True
        return False

    def test_sound_runs_with_wrong_estimates_are_left_alone(self):
        self.learn(estimate_error=1.3)
        n_stopped = 0
        for job in range(300):
            run_time = log_normal(self.rng, 1_000 * MS, 0.5)
            estimate = run_time * math.exp(
                self.rng.uniform(-math.log(10), math.log(10))
            )
            n_stopped += self.is_slow(run_time, estimate=estimate, job=job)
        self.assertLessEqual(n_stopped, 3)

    def test_runs_on_a_slow_vm_are_found_by_their_siblings(self):
        n_stopped = 0
        for job in range(100):
            median = log_normal(self.rng, 1_000 * MS, 0.5)
            for _ in range(4):
                run_time = log_normal(self.rng, median, 0.3)
                self.record(run_time, estimate=30 * MS, job=job)
            slow = 6.5 * log_normal(self.rng, median, 0.3)
            n_stopped += self.is_slow(slow, estimate=30 * MS, job=job)
        self.assertGreaterEqual(n_stopped, 95)

    def test_a_run_near_its_end_is_not_stopped(self):
        progress = RunProgress(timedelta(0), 0)
        progress.update(8_000 * MS, 85)
        self.assertTrue(progress.is_outlier(8_000 * MS, 1_000 * MS, CFG))
        self.assertFalse(progress.is_slow(8_000 * MS, 1_000 * MS, CFG))


if __name__ == "__main__":
    unittest.main()
