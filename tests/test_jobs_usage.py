"""Tests of the resources that the runs use."""

import unittest

from redwingslip.jobs import NO_AMOUNTS, Amounts, JobSpec, StepSpec, TaskKey
from redwingslip.jobs._usage import RunUsage

STEPS = (
    StepSpec(n_tasks=2, need=Amounts(1_000, 10)),
    StepSpec(n_tasks=2, need=Amounts(400, 30), is_filler=True),
)
SPEC = JobSpec(job_id="j", queue="q", pool="p", customer="forges", steps=STEPS)
SHORT, FILLER = TaskKey("j", 0, 0, 0), TaskKey("j", 0, 1, 0)


class TestRunUsage(unittest.TestCase):
    """Sums by VM and by customer."""

    def setUp(self):
        self.usage = RunUsage()
        self.usage.add("v1", SHORT, SPEC)
        self.usage.add("v1", FILLER, SPEC)
        self.usage.add("v2", SHORT, SPEC)

    def test_fillers_use_the_limit_of_their_customer_but_reserve_no_cpu(self):
        self.assertEqual(
            self.usage.of_vm("v1"), (Amounts(1_000, 40), {SHORT[:3]: 1, FILLER[:3]: 1})
        )
        self.assertEqual(self.usage.of_customers(), {"forges": Amounts(2_400, 50)})

    def test_nothing_is_left_once_all_runs_have_ended(self):
        for vm_id, key in (("v1", SHORT), ("v1", FILLER), ("v2", SHORT)):
            self.usage.remove(vm_id, key, SPEC)
        self.assertEqual(self.usage.of_vm("v1"), (NO_AMOUNTS, {}))
        self.assertEqual(self.usage.of_customers(), {})

    def test_callers_may_change_the_counter_that_they_get(self):
        _, steps = self.usage.of_vm("v2")
        steps[SHORT[:3]] += 5
        self.assertEqual(self.usage.of_vm("v2")[1], {SHORT[:3]: 1})


if __name__ == "__main__":
    unittest.main()
