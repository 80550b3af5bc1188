"""Tests of the place of jobs that can't finish in time any more, under overload."""

import unittest

from redwingslip.workers import StepKey
from tests.test_scheduling_admission import MS, AdmissionCase, make_spec


class TestLateJobs(AdmissionCase):
    """A full pool with jobs that are late, or that learned run times make late."""

    def fill(self):
        """Let two jobs take all cores."""
        for job_id in ("a", "b"):
            self.submit(make_spec(job_id))
        self.run_round()
        self.advance(200)

    def test_jobs_that_learned_run_times_make_late_do_not_go_first(self):
        """Guards against hopeless jobs that pass all others, as they have no turn."""
        for number in range(20):
            self.admission._works._run_times.record(
                StepKey(f"r{number}", 0, 0),
                queue="q",
                vm_id="v1",
                estimate=(450 + 5 * number) * MS,
                run_time=3 * (450 + 5 * number) * MS,
            )
        self.fill()
        self.submit(make_spec("hopeless"))
        self.run_round()
        self.advance(1000)
        for number in range(10):
            self.submit(make_spec(f"n{number}"))
        self.run_round()
        self.advance(200)
        self.run_round()
        self.assertEqual(self.order()[-1], "hopeless")

    def test_late_jobs_with_little_work_go_first(self):
        """Guards against late jobs that all start just before their use is gone."""
        self.fill()
        self.submit(make_spec("large", n_tasks=40))
        self.advance(50)
        self.submit(make_spec("small", n_tasks=1))
        self.run_round()
        self.advance(1750)
        self.run_round()
        self.assertEqual(self.order(), ["small", "large"])


if __name__ == "__main__":
    unittest.main()
