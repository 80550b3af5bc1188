"""Tests of the index of the runs that may be alive."""

import unittest

from redwingslip.jobs import (
    NO_AMOUNTS,
    Amounts,
    JobSpec,
    RunRecord,
    StepSpec,
    TaskKey,
)
from redwingslip.jobs._active_runs import ActiveRuns

SPEC = JobSpec(
    job_id="j",
    queue="q",
    pool="p",
    steps=(StepSpec(n_tasks=2, need=Amounts(1_000, 10)),),
)
KEY, OTHER = TaskKey("j", 0, 0, 0), TaskKey("j", 0, 0, 1)


class TestActiveRuns(unittest.TestCase):
    """Runs by VM, with the suspects among them and what they use."""

    def setUp(self):
        self.runs = ActiveRuns()
        self.record = RunRecord(1, "v1", 5)
        self.run = self.runs.add(KEY, self.record, SPEC)
        self.other = self.runs.add(OTHER, RunRecord(1, "v1", 6), SPEC)

    def test_runs_belong_to_one_incarnation(self):
        self.assertEqual(self.runs.on_vm("v1"), (self.run, self.other))
        self.assertEqual(self.runs.on_vm("v1", 5), (self.run,))
        self.assertIs(self.runs.find("v1", 5, (KEY, 1)), self.run)
        self.assertIsNone(self.runs.find("v1", 6, (KEY, 1)))
        self.assertIsNone(self.runs.find("v2", 5, (KEY, 1)))

    def test_a_removed_run_is_no_suspect_and_uses_nothing(self):
        self.runs.add_suspects(KEY, [self.record])
        self.assertEqual(self.runs.suspects, {"v1": {(KEY, 1): self.run}})
        for run in (self.run, self.other):
            self.runs.remove(run, SPEC)
        self.assertEqual(self.runs.suspects, {})
        self.assertEqual(self.runs.on_vm("v1"), ())
        self.assertEqual(self.runs.usage.of_vm("v1"), (NO_AMOUNTS, {}))

    def test_a_run_that_is_no_longer_suspected_stays(self):
        self.runs.add_suspects(KEY, [self.record])
        self.runs.remove_suspects(KEY, [self.record])
        self.assertEqual(self.runs.suspects, {})
        self.assertIn(self.run, self.runs.on_vm("v1"))


if __name__ == "__main__":
    unittest.main()
