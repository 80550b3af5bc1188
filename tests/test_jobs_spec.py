"""Tests of the checks of a job's steps."""

import unittest

from redwingslip.jobs import MAX_TASKS, InvalidJobError, StepSpec, check_steps


class TestCheckSteps(unittest.TestCase):
    """Graphs of steps, and jobs too large to be kept."""

    def assert_refused(self, field, steps, **options):
        with self.assertRaises(InvalidJobError) as caught:
            check_steps(steps, **options)
        self.assertEqual(caught.exception.field, field)

    def test_a_step_follows_earlier_ones(self):
        check_steps([StepSpec(n_tasks=1), StepSpec(n_tasks=1, after=(0,))])
        self.assert_refused("steps.0.after", [StepSpec(n_tasks=1, after=(0,))])

    def test_the_largest_job_is_accepted(self):
        check_steps([StepSpec(n_tasks=MAX_TASKS)])
        check_steps([StepSpec(n_tasks=1)], n_occurrences=MAX_TASKS)
        check_steps([])

    def test_a_job_with_more_tasks_is_refused(self):
        """Guards against a job that takes all memory of every replica."""
        self.assert_refused("steps", [StepSpec(n_tasks=MAX_TASKS + 1)])
        self.assert_refused("steps", [StepSpec(n_tasks=2**53)])
        self.assert_refused("steps", [StepSpec(n_tasks=MAX_TASKS), StepSpec(n_tasks=1)])

    def test_occurrences_count_even_without_tasks(self):
        """Guards against a job that takes all memory of every replica."""
        for steps in ([StepSpec(n_tasks=2)], [StepSpec(n_tasks=0)], []):
            self.assert_refused("steps", steps, n_occurrences=2**53)
        n_occurrences = MAX_TASKS // 2 + 1
        self.assert_refused("steps", [StepSpec(n_tasks=2)], n_occurrences=n_occurrences)
