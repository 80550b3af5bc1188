"""Tests of the bytes that jobs count in the state, and of refusals for lack of them."""

import unittest
from datetime import timedelta
from unittest import mock

from redwingslip.jobs import (
    CancelJob,
    ForgetJobs,
    JobSpec,
    JobsState,
    Repetition,
    StepSpec,
    SubmitJob,
    job_bytes,
)
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    JobRefusedError,
    NotLeadingError,
    SchedulingSettings,
)
from redwingslip.scheduling._job_memory import JobMemory
from tests.support_scheduling import FakeTerm

LARGE_TASKS = 1_000


def make_spec(job_id, n_tasks=1, payload="", **fields):
    """Return a job of one step."""
    steps = (StepSpec(n_tasks=n_tasks),)
    return JobSpec(
        job_id=job_id, queue="q", pool="p", payload=payload, steps=steps, **fields
    )


class TestJobBytes(unittest.TestCase):
    """The bytes of one job, and of all jobs in the state."""

    def test_counts_what_is_decoded(self):
        """Guards against small bodies that count as little and take much."""
        # Measured: 35.6 MB for 100,000 tasks, and 1 MB of the snapshot.
        self.assertGreater(job_bytes(make_spec("a", 100_000)), 36_600_000)
        repetition = Repetition(first_at_ms=0, interval_ms=1, count=100_000)
        # Measured: 48.3 MB, and 1.1 MB of the snapshot.
        self.assertGreater(job_bytes(make_spec("a", repetition=repetition)), 49_400_000)
        # A text of other characters takes more than its bytes in the body.
        self.assertGreater(job_bytes(make_spec("a", payload="\U0001f600" * 100)), 800)

    def test_steps_on_both_sides_of_an_empty_one_are_ready_together(self):
        """Guards against a bound on ready tasks that an empty step evades."""
        first, last = StepSpec(n_tasks=100), StepSpec(n_tasks=100, after=(1,))
        empty = StepSpec(n_tasks=0, after=(0,))
        spec = JobSpec(job_id="a", queue="q", pool="p", steps=(first, empty, last))
        self.assertGreater(job_bytes(spec), 200 * 1_200)

    def test_every_replica_counts_the_same(self):
        """Guards against counts that differ after a snapshot, or never fall."""
        state, restored = JobsState(), JobsState()
        for job_id in "abc":
            state.apply(SubmitJob(spec=make_spec(job_id, 7), now_ms=1))
        state.apply(SubmitJob(spec=make_spec("a", 99), now_ms=2))
        restored.restore(state.snapshot())
        self.assertEqual(restored.sizes.n_bytes, state.sizes.n_bytes)
        self.assertEqual(state.sizes.n_bytes, 3 * job_bytes(make_spec("a", 7)))
        for replica in (state, restored):
            for job_id in "abc":
                replica.apply(CancelJob(job_id=job_id, now_ms=3))
            replica.apply(ForgetJobs(job_ids=("a", "b", "c", "d")))
            self.assertEqual(replica.sizes.n_bytes, 0)


class TestJobMemory(unittest.TestCase):
    """Decisions of a leader; ended jobs are kept for 100 s, and at most 105 s."""

    def setUp(self):
        self.state = JobsState()
        self.term = FakeTerm(self.state)
        self.term.clock.advance(timedelta(seconds=1))
        self.term.metrics = mock.Mock()
        self.term.emit = mock.Mock()
        large = job_bytes(make_spec("a", LARGE_TASKS))
        cfg = SchedulingSettings(
            keep_ended=timedelta(seconds=100), max_job_bytes=4 * large
        )
        self.memory = JobMemory(term=self.term, cfg=cfg, machine_bytes=0)

    def submit(self, job_id, n_tasks=LARGE_TASKS):
        """Submit a job as the service does."""
        spec = make_spec(job_id, n_tasks)
        with self.memory.submission(spec):
            self.state.apply(SubmitJob(spec=spec, now_ms=self.term.now_ms()))

    def refused(self, job_id, n_tasks=LARGE_TASKS):
        """Return after how many seconds the caller of a refused job may return."""
        with self.assertRaises(JobRefusedError) as caught:
            self.submit(job_id, n_tasks)
        self.assertNotIn(job_id, self.state.jobs)
        return caught.exception.retry_after.total_seconds()

    def test_large_jobs_leave_the_reserve_to_small_ones(self):
        """Guards against large jobs that keep ordinary ones out."""
        self.submit("a")
        self.submit("b")
        self.refused("c")
        self.refused("c")
        for i in range(800):
            self.submit(f"small-{i}", 1)
        self.assertEqual(self.term.metrics.add_memory_refusals.call_count, 2)
        self.assertEqual(self.term.emit.call_count, 1)

    def test_single_job_of_any_size_is_accepted(self):
        """Guards against a valid job that is refused for ever."""
        self.submit("a", 100 * LARGE_TASKS)
        self.refused("b")
        self.submit("small", 1)

    def test_retry_is_when_ended_jobs_have_been_forgotten(self):
        """Guards against callers that return before there is room."""
        self.submit("a")
        self.submit("b")
        self.assertGreaterEqual(self.refused("c"), 105)
        self.state.apply(CancelJob(job_id="a", now_ms=self.term.now_ms()))
        self.term.clock.advance(timedelta(seconds=60))
        wait_s = self.refused("c")
        self.assertTrue(45 <= wait_s <= 68, wait_s)
        self.state.apply(ForgetJobs(job_ids=("a",)))
        self.submit("c")

    def test_jobs_that_are_being_committed_count(self):
        """Guards against jobs that are accepted together beyond the limit."""
        first, second = make_spec("a", LARGE_TASKS), make_spec("b", LARGE_TASKS)
        with self.memory.submission(first), self.memory.submission(second):
            self.refused("c")
            # A repeat of a call joins the first one.
            with self.memory.submission(first):
                pass
        self.submit("c")

    def test_outcomes_decide_what_counts_later(self):
        """Guards against "not run" for a job that may have been committed."""
        with (
            self.assertRaises(NotLeadingError),
            self.memory.submission(make_spec("a", LARGE_TASKS)),
        ):
            raise NotLeadingError
        with (
            self.assertRaises(CommandOutcomeUnknownError),
            self.memory.submission(make_spec("b", LARGE_TASKS)),
        ):
            raise CommandOutcomeUnknownError
        self.submit("c")
        self.refused("d")
        self.submit("b")
        self.state.apply(CancelJob(job_id="b", now_ms=self.term.now_ms()))
        self.state.apply(ForgetJobs(job_ids=("b",)))
        self.submit("d")

    def test_former_leader_refuses_nothing(self):
        """Guards against "not run" for a job that another leader has accepted."""
        self.submit("a")
        self.submit("b")
        self.term.is_leader = False
        self.submit("c")
