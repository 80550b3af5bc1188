"""Tests of tasks under which VMs crash, in the replicated state."""

import unittest

from redwingslip.jobs import (
    EndKind,
    ForgetVm,
    JobsState,
    JobStatus,
    NoteVm,
    RecordEnds,
    RecordMaintenance,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    StepSpec,
    TaskKey,
    VmRecord,
    is_isolated,
)
from redwingslip.jobs._crashes import MAX_CRASHES
from tests.test_jobs_state import KEY, make_job, make_state

OTHER = TaskKey("j2", 0, 0, 0)


class TestCrashes(unittest.TestCase):
    """What counts as a crash under a task, and what follows from it."""

    def setUp(self):
        self.state = make_state(make_job(), make_job("j2"))
        self.born_ms = 1

    def start(self, key=KEY, now_ms=100):
        """Start a task on the newest incarnation of the VM."""
        starts = (RunStart(key, "v1", self.born_ms),)
        self.state.apply(StartRuns(starts=starts, now_ms=now_ms))

    def restart_vm(self, now_ms=200):
        """Report a new incarnation of the VM."""
        self.born_ms += 1
        vm = VmRecord(vm_id="v1", born_ms=self.born_ms)
        self.state.apply(NoteVm(vm=vm, now_ms=now_ms))

    def n_crashes(self, key=KEY):
        """Return the number of crashes under a task."""
        return self.state.task(key).n_crashes

    def test_a_new_incarnation_counts_under_all_runs_of_the_last_one(self):
        self.start()
        self.start(OTHER)
        self.restart_vm()
        self.assertEqual([self.n_crashes(), self.n_crashes(OTHER)], [1, 1])

    def test_a_vm_that_was_replaced_counts(self):
        self.start()
        self.state.apply(ForgetVm(vm_id="v1", born_ms=1, now_ms=200, has_crashed=True))
        self.assertEqual(self.n_crashes(), 1)

    def test_a_vm_that_was_moved_does_not_count(self):
        """Guards against tasks that are suspected for the leader's own orders."""
        self.start()
        self.state.apply(ForgetVm(vm_id="v1", born_ms=1, now_ms=200))
        self.assertEqual(self.n_crashes(), 0)

    def test_a_vm_that_had_announced_its_end_does_not_count(self):
        self.start()
        draining = VmRecord(vm_id="v1", born_ms=1, is_draining=True)
        self.state.apply(NoteVm(vm=draining, now_ms=150))
        self.restart_vm()
        self.assertEqual(self.n_crashes(), 0)

    def order_maintenance(self, now_ms):
        """Record that the maintenance of the machine is about to be ordered."""
        vm = VmRecord(vm_id="v1", born_ms=1, machine="m1")
        self.state.apply(NoteVm(vm=vm, now_ms=50))
        wave = StartWave(
            number=1, machines=("m1",), duration_ms=20_000, max_at_once=1, now_ms=50
        )
        self.state.apply(wave)
        order = RecordMaintenance(number=1, ordered=("m1",), now_ms=now_ms)
        self.state.apply(order)

    def test_a_vm_that_ended_by_an_order_without_an_answer_does_not_count(self):
        """Guards against crashes that are the leader's own orders for maintenance.

        The answer to the order is lost, or the leader that gave it ends. A new leader
        learns only that another incarnation answers.
        """
        self.start(now_ms=100)
        self.order_maintenance(now_ms=150)
        self.restart_vm(now_ms=6_000)
        self.assertEqual(self.n_crashes(), 0)

    def test_a_crash_after_an_order_counts(self):
        """Guards against a crashing task that is overlooked on a maintained machine."""
        self.order_maintenance(now_ms=150)
        self.start(now_ms=200)
        self.restart_vm(now_ms=250)
        self.assertEqual(self.n_crashes(), 1)

    def test_a_silent_vm_counts_once(self):
        """Guards against two crashes for one VM: at the end of its lease and later."""
        self.start()
        ends = (RunEnd(KEY, 1, EndKind.LOST),)
        self.state.apply(
            RecordEnds(vm_id="v1", born_ms=1, ends=ends, now_ms=200, has_crashed=True)
        )
        self.restart_vm()
        self.assertEqual(self.n_crashes(), 1)

    def test_a_silent_vm_counts_also_if_its_leader_changed_meanwhile(self):
        """Guards against crashes that do not count, so that the task goes on for good.

        Each leader waits for a whole lease, as an earlier one may have renewed it.
        """
        self.start(now_ms=100)
        end = (RunEnd(KEY, 1, EndKind.LOST),)
        self.state.apply(
            RecordEnds(
                vm_id="v1", born_ms=1, ends=end, now_ms=100 + 15_000, has_crashed=True
            )
        )
        self.assertEqual(self.n_crashes(), 1)

    def pass_probation(self, number=1, born_ms=1):
        """Record that a VM has listed a run of the task for long."""
        command = RecordEnds(
            vm_id="v1",
            born_ms=born_ms,
            ends=(),
            now_ms=150,
            past_probation=((KEY, number),),
        )
        self.state.apply(command)

    def test_a_run_that_was_listed_for_long_is_not_suspected(self):
        """Guards against a sound task that is given up for VMs that end later."""
        self.start()
        self.pass_probation()
        copy = JobsState()
        copy.restore(self.state.snapshot())
        self.restart_vm()
        self.assertEqual(self.n_crashes(), 0)
        copy.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=200))
        self.assertEqual(copy.task(KEY).n_crashes, 0)

    def test_another_run_or_incarnation_passes_no_probation(self):
        """Guards against a crashing task that is taken for a sound one."""
        self.start()
        self.pass_probation(number=2)
        self.pass_probation(born_ms=2)
        self.restart_vm()
        self.assertEqual(self.n_crashes(), 1)

    def test_a_crash_counts_however_late_it_is_known(self):
        """Guards against crashes that do not count after a time without a leader."""
        self.start(now_ms=100)
        self.restart_vm(now_ms=100 + 60_000)
        self.assertEqual(self.n_crashes(), 1)

    def test_job_fails_after_too_many_crashes(self):
        """Guards against a task that is started again on VM after VM."""
        for _ in range(MAX_CRASHES):
            self.assertEqual(self.state.jobs["j2"].status, JobStatus.QUEUED)
            self.start()
            self.restart_vm()
        self.assertEqual(self.state.jobs["j1"].status, JobStatus.FAILED)
        self.assertEqual(self.state.jobs["j1"].ended_ms, 200)

    def test_crashes_are_in_the_snapshot(self):
        """Guards against a new leader that starts a suspect among other tasks."""
        self.start()
        self.restart_vm()
        self.start()
        copy = JobsState()
        copy.restore(self.state.snapshot())
        self.assertEqual(copy.task(KEY).n_crashes, 1)
        self.assertEqual(copy.suspect_runs, self.state.suspect_runs)
        self.assertEqual(list(copy.suspect_runs), ["v1"])

    def test_ended_runs_are_no_suspects(self):
        self.start()
        self.restart_vm()
        self.start()
        self.restart_vm()
        self.assertEqual(self.state.suspect_runs, {})

    def test_tasks_are_isolated_after_two_crashes_except_gangs(self):
        self.start()
        self.restart_vm()
        task = self.state.task(KEY)
        self.assertFalse(is_isolated(StepSpec(n_tasks=1), task))
        self.start()
        self.restart_vm()
        self.assertTrue(is_isolated(StepSpec(n_tasks=1), task))
        self.assertFalse(is_isolated(StepSpec(n_tasks=2, is_gang=True), task))


if __name__ == "__main__":
    unittest.main()
