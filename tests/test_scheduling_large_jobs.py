"""Tests of jobs with so many tasks that one round places only a part of them."""

import unittest

from redwingslip.jobs import Amounts, JobSpec, StepSpec, SubmitJob
from redwingslip.scheduling._job_index import MAX_TASKS_IN_ROUND, JobIndex
from tests.support_scheduling import make_state
from tests.test_scheduling_round_cost import TOLERANCE, count_calls

NOW_MS = 1_000


class TestLargeJobs(unittest.TestCase):
    """One active job, whose waiting tasks are listed for each round."""

    def setUp(self):
        self.state = make_state()

    def index_of(self, *steps):
        """Return the index of a job with these steps."""
        spec = JobSpec(job_id="j", queue="q", pool="p", steps=steps)
        self.state.apply(SubmitJob(spec=spec, now_ms=1))
        return JobIndex(self.state)

    def keys_of_round(self, index):
        """Return the keys of the tasks that a round considers."""
        jobs = index.waiting(NOW_MS, lambda run: False)
        return [task.key for _, tasks in jobs for task in tasks]

    def test_each_task_has_its_round(self):
        """Guards against a part of a job that is never placed."""
        step = StepSpec(n_tasks=1, need=Amounts(500, 10))
        index = self.index_of(*[step] * (2 * MAX_TASKS_IN_ROUND + 100))
        rounds = [self.keys_of_round(index) for _ in range(4)]
        self.assertEqual(
            [len(keys) for keys in rounds],
            [MAX_TASKS_IN_ROUND, MAX_TASKS_IN_ROUND, 100, MAX_TASKS_IN_ROUND],
        )
        keys = [key for part in rounds[:3] for key in part]
        self.assertEqual(len(set(keys)), 2 * MAX_TASKS_IN_ROUND + 100)
        self.assertEqual(rounds[3], rounds[0])

    def test_tasks_of_a_gang_stay_together(self):
        """Guards against a gang of which a part is started."""
        gang = StepSpec(n_tasks=MAX_TASKS_IN_ROUND - 1, is_gang=True)
        index = self.index_of(StepSpec(n_tasks=100), gang, StepSpec(n_tasks=50))
        first, second = (self.keys_of_round(index) for _ in range(2))
        self.assertEqual(len(first), 100 + gang.n_tasks)
        self.assertEqual({key.step for key in second}, {2})

    def test_long_running_job_is_not_divided(self):
        """Guards against waiting times that begin anew with each part."""
        n_tasks = MAX_TASKS_IN_ROUND + 1
        index = self.index_of(StepSpec(n_tasks=n_tasks, is_long_running=True))
        self.assertEqual(len(self.keys_of_round(index)), n_tasks)
        self.assertEqual(index.left_out, {})

    def test_tasks_that_are_left_out_need_capacity(self):
        """Guards against pools that are sized for a part of a job."""
        step = StepSpec(n_tasks=1, need=Amounts(500, 10))
        index = self.index_of(*[step] * (MAX_TASKS_IN_ROUND + 100))
        self.keys_of_round(index)
        self.assertEqual(index.left_out, {"j": 100 * 500})
        self.keys_of_round(index)
        self.assertEqual(index.left_out, {"j": MAX_TASKS_IN_ROUND * 500})

    def test_cost_of_a_round_does_not_grow_with_the_job(self):
        """Guards against rounds that take the leader for seconds."""
        n_calls = []
        for factor in (2, 10):
            self.setUp()
            step = StepSpec(n_tasks=1, need=Amounts(500, 10))
            index = self.index_of(*[step] * (factor * MAX_TASKS_IN_ROUND))
            self.keys_of_round(index)
            n_calls.append(count_calls(lambda i=index: self.keys_of_round(i)))
        self.assertLessEqual(n_calls[1], TOLERANCE * n_calls[0])
