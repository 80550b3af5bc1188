"""Tests of runs that were at work when their VM crashed, in the replicated state."""

import unittest

from redwingslip.jobs import (
    JobsState,
    NoteVm,
    RecordEnds,
    RunStart,
    StartRuns,
    TaskKey,
    VmRecord,
)
from tests.test_jobs_state import KEY, make_job, make_state

OTHER = TaskKey("j2", 0, 0, 0)


class TestRunsAtWork(unittest.TestCase):
    """What the state knows of runs at work, and what follows when the VM crashes."""

    def setUp(self):
        jobs = [make_job(job_id, is_long_running=True) for job_id in ("j1", "j2")]
        self.state = make_state(*jobs)
        starts = (RunStart(KEY, "v1", 1), RunStart(OTHER, "v1", 1))
        self.state.apply(StartRuns(starts=starts, now_ms=100))

    def note_at_work(self, *runs, vm_id="v1", born_ms=1):
        """Record that runs are at work."""
        command = RecordEnds(
            vm_id=vm_id, born_ms=born_ms, ends=(), now_ms=150, at_work=runs
        )
        self.assertEqual(self.state.apply(command), ())

    def crash(self, state=None, born_ms=2):
        """Report a new incarnation; return the crashes under each of the two tasks."""
        state = state or self.state
        vm = VmRecord(vm_id="v1", born_ms=born_ms)
        state.apply(NoteVm(vm=vm, now_ms=200))
        return [state.task(key).n_crashes for key in (KEY, OTHER)]

    def test_only_the_run_that_was_at_work_is_not_suspected(self):
        """Guards against a crashing task that escapes beside a sound one."""
        self.note_at_work((KEY, 1))
        self.assertEqual(self.crash(), [0, 1])

    def test_runs_at_work_are_in_the_snapshot(self):
        """Guards against replicas that count a crash differently."""
        self.note_at_work((KEY, 1))
        copy = JobsState()
        copy.restore(self.state.snapshot())
        self.assertEqual(self.crash(copy), [0, 1])

    def test_without_a_record_all_runs_are_suspected(self):
        """Guards against a crash that does not count as no leader has polled yet."""
        self.assertEqual(self.crash(), [1, 1])

    def test_the_next_run_has_to_get_to_work_again(self):
        """Guards against a task that once was at work and later crashes its VMs."""
        self.note_at_work((KEY, 1))
        self.crash()
        starts = (RunStart(KEY, "v1", 2),)
        self.state.apply(StartRuns(starts=starts, now_ms=180))
        self.note_at_work((KEY, 1))
        self.assertEqual(self.crash(born_ms=3), [1, 1])

    def test_a_record_of_another_incarnation_has_no_effect(self):
        """Guards against an answer of an ended VM that clears a run on the next one."""
        self.note_at_work((KEY, 1), born_ms=0)
        self.note_at_work((KEY, 1), vm_id="v2")
        self.assertEqual(self.crash(), [1, 1])

    def test_unknown_runs_and_tasks_are_ignored(self):
        """Guards against an error in the state, which would end all replicas."""
        self.note_at_work(
            (KEY, 9), (TaskKey("j9", 0, 0, 0), 1), (TaskKey("j1", 0, 7, 0), 1)
        )
        self.assertEqual(self.crash(), [1, 1])


if __name__ == "__main__":
    unittest.main()
