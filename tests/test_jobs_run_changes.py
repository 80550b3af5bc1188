"""Tests of the starts and ends of runs in the replicated state."""

import unittest

from redwingslip.jobs import (
    ACTIVE_STATUSES,
    EndKind,
    JobsState,
    JobStatus,
    NoteVm,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    TaskKey,
    VmRecord,
)
from tests.test_jobs_state import KEY, end, make_job, make_state, start


class TestRunChanges(unittest.TestCase):
    """Which starts take effect, and which ends count."""

    def test_run_numbers_increase_whatever_the_kind_of_end(self):
        state = make_state(make_job())
        numbers = []
        for kind in (EndKind.LOST, EndKind.REJECTED, EndKind.STOPPED):
            (run,) = state.apply(start())
            numbers.append(run.number)
            state.apply(end(kind, number=run.number))
        self.assertEqual(numbers, [1, 2, 3])

    def test_a_task_that_runs_is_not_started_again(self):
        state = make_state(make_job())
        state.apply(start())
        self.assertEqual(state.apply(start()), ())

    def test_a_done_task_is_not_started_again(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.DONE))
        self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)
        self.assertEqual(state.apply(start()), ())

    def test_an_end_counts_after_its_run_was_closed(self):
        """Guards against a task that starts again although its VM reports it done.

        A leader may close a run that goes on, or has ended, on its VM.
        """
        for kind in (EndKind.LOST, EndKind.REJECTED, EndKind.STOPPED):
            with self.subTest(kind=kind):
                state = make_state(make_job())
                state.apply(start())
                state.apply(end(kind))
                state.apply(start())
                unmatched = state.apply(end(EndKind.DONE, cursor=5))
                self.assertEqual(len(unmatched), 1)
                self.assertEqual(state.vms["v1"].end_cursor, 5)
                self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)
                state.apply(end(EndKind.STOPPED, number=2, cursor=6))
                self.assertEqual(state.apply(start()), ())

    def test_a_failure_counts_once_after_its_run_was_closed(self):
        """Guards against attempts beyond the limit, and against too few of them."""
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        for cursor in (1, 2):
            state.apply(end(EndKind.FAILED, cursor=cursor))
            self.assertEqual(state.task(KEY).n_failures, 1)
        state.apply(start())
        state.apply(end(EndKind.FAILED, number=2, cursor=3))
        self.assertEqual(state.jobs["j1"].status, JobStatus.FAILED)

    def test_an_end_counts_after_its_run_was_closed_twice(self):
        """Guards against a leader's second record that takes the place of a report."""
        state = make_state(make_job())
        state.apply(start())
        for kind, cursor in ((EndKind.LOST, 0), (EndKind.LOST, 0), (EndKind.DONE, 1)):
            state.apply(end(kind, cursor=cursor))
        self.assertTrue(state.task(KEY).is_done)

    def test_the_numbers_of_closed_runs_take_little_space(self):
        """Guards against a state that grows with each run that a leader closes."""
        state = make_state(make_job(), make_job("j2", is_long_running=True))
        for key, n_kept in ((KEY, 32), (TaskKey("j2", 0, 0, 0), 0)):
            for number in range(1, 101):
                state.apply(start(key))
                state.apply(end(EndKind.REJECTED, key, number))
            self.assertEqual(len(state.task(key).unreported), n_kept)
        state.apply(end(EndKind.DONE, number=100, cursor=1))
        self.assertTrue(state.task(KEY).is_done)

    def test_an_end_of_a_run_that_was_never_placed_changes_nothing(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        for number, key in ((2, KEY), (1, TaskKey("j2", 0, 0, 0))):
            state.apply(end(EndKind.DONE, key, number, cursor=1))
        self.assertFalse(state.task(KEY).is_done)

    def test_a_late_end_counts_after_a_snapshot(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        restored = JobsState()
        restored.restore(state.snapshot())
        restored.apply(end(EndKind.DONE, cursor=1))
        self.assertTrue(restored.task(KEY).is_done)

    def test_a_job_fails_after_its_attempts(self):
        state = make_state(make_job())
        for number in (1, 2):
            state.apply(start())
            state.apply(end(EndKind.FAILED, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.FAILED)

    def test_lost_runs_do_not_count_as_attempts(self):
        state = make_state(make_job())
        for number in range(1, 6):
            state.apply(start())
            state.apply(end(EndKind.LOST, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.RUNNING)

    def test_long_running_tasks_restart_whatever_the_kind_of_end(self):
        state = make_state(make_job(is_long_running=True))
        for number, kind in enumerate([EndKind.DONE, EndKind.FAILED] * 3, 1):
            (run,) = state.apply(start())
            self.assertEqual(run.number, number)
            state.apply(end(kind, number=number))
        self.assertIn(state.jobs["j1"].status, ACTIVE_STATUSES)

    def test_an_end_from_another_incarnation_closes_no_run(self):
        state = make_state(make_job())
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        state.apply(start(born_ms=2))
        state.apply(end(EndKind.DONE, born_ms=1))
        self.assertEqual(len(state.runs_of("v1")), 1)

    def test_the_members_of_a_gang_share_the_run_number(self):
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, index) for index in (0, 1)]
        state.apply(start(keys[0]))
        state.apply(end(EndKind.ALONE, keys[0]))
        both = StartRuns(starts=tuple(RunStart(key, "v1", 1) for key in keys), now_ms=2)
        self.assertEqual([run.number for run in state.apply(both)], [2, 2])

    def test_the_members_of_a_gang_share_the_last_checkpoint(self):
        """Guards against a gang that never works again after the crash of one VM."""
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, n) for n in range(2)]
        for number, saver in enumerate((0, 1), 1):
            starts = tuple(RunStart(key, "v1", 1) for key in keys)
            state.apply(StartRuns(starts=starts, now_ms=2))
            checkpoint = f"after run {number}"
            ends = [RunEnd(key, number, EndKind.BROKEN) for key in keys]
            ends[saver] = RunEnd(keys[saver], number, EndKind.BROKEN, checkpoint)
            state.apply(
                RecordEnds(
                    vm_id="v1", born_ms=1, ends=tuple(ends), now_ms=3, cursor=number
                )
            )
            checkpoints = [state.task(key).checkpoint for key in keys]
            self.assertEqual(checkpoints, [checkpoint] * 2)

    def test_one_completed_member_completes_the_gang(self):
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, index) for index in (0, 1)]
        state.apply(
            StartRuns(starts=tuple(RunStart(key, "v1", 1) for key in keys), now_ms=2)
        )
        state.apply(end(EndKind.DONE, keys[0]))
        self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)


if __name__ == "__main__":
    unittest.main()
