"""Tests of VMs that fall silent, in the replicated state and under orders."""

import asyncio
import unittest

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    CancelJob,
    EndKind,
    ForgetJobs,
    ForgetVm,
    JobsState,
    JobStatus,
    NoteVm,
    RecordEnds,
    RecordMove,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    TaskKey,
    VmRecord,
    is_quarantined,
)
from redwingslip.jobs._crashes import MAX_CRASHES
from redwingslip.scheduling import LeaderPolicy, MachineRegistry, WaveManager
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase
from tests.test_scheduling_waves import CFG

KEY = TaskKey("j1", 0, 0, 0)
NOW_MS = 100


def start(state, vm_id="v1"):
    """Start the task on a VM, and return its run."""
    starts = (RunStart(KEY, vm_id, 1),)
    (run,) = state.apply(StartRuns(starts=starts, now_ms=NOW_MS))
    return run


def fall_silent(state, vm_id="v1"):
    """Record that a VM fell silent, with the end of its runs."""
    ends = tuple(
        RunEnd(run.key, run.number, EndKind.LOST) for run in state.runs_of(vm_id)
    )
    command = RecordEnds(
        vm_id=vm_id, born_ms=1, ends=ends, now_ms=NOW_MS, is_silent=True
    )
    state.apply(command)


class TestSilentVms(unittest.TestCase):
    """What follows from a VM that falls silent, and what takes that back."""

    def setUp(self):
        self.state = make_state(jobs=[make_job(), make_job("j2")])
        self.now_ms = 100

    def add_vm(self, vm_id="v1", born_ms=1, **fields):
        """Report an incarnation of a VM, and return the effect."""
        fields = {"machine": f"m-{vm_id}", "address": f"{vm_id}:1", **fields}
        vm = VmRecord(vm_id=vm_id, born_ms=born_ms, **fields)
        return self.state.apply(NoteVm(vm=vm, now_ms=self.now_ms))

    def start(self, vm_id="v1", key=KEY):
        """Start a task on the newest incarnation of a VM; return the run number."""
        born_ms = self.state.vms[vm_id].born_ms
        starts = (RunStart(key, vm_id, born_ms),)
        (run,) = self.state.apply(StartRuns(starts=starts, now_ms=self.now_ms))
        return run.number

    def fall_silent(self, vm_id="v1"):
        """Record that the lease of a VM expired without an answer."""
        born_ms = self.state.vms[vm_id].born_ms
        runs = self.state.runs_of(vm_id, born_ms)
        ends = tuple(RunEnd(run.key, run.number, EndKind.LOST) for run in runs)
        command = RecordEnds(
            vm_id=vm_id, born_ms=born_ms, ends=ends, now_ms=self.now_ms, is_silent=True
        )
        self.state.apply(command)

    def answer(self, vm_id="v1", born_ms=1):
        """Record that an incarnation has answered again."""
        command = RecordEnds(
            vm_id=vm_id, born_ms=born_ms, ends=(), now_ms=self.now_ms, is_alive=True
        )
        self.state.apply(command)

    def forget(self, vm_id="v1", **options):
        """Remove a VM, and return the effect."""
        born_ms = self.state.vms[vm_id].born_ms
        command = ForgetVm(vm_id=vm_id, born_ms=born_ms, now_ms=self.now_ms, **options)
        return self.state.apply(command)

    def lose(self, vm_id):
        """Start the task on a new VM, which then falls silent."""
        self.add_vm(vm_id)
        self.start(vm_id)
        self.fall_silent(vm_id)

    def counts(self, key=KEY):
        """Return the number of known crashes under a task, and of silent VMs."""
        task = self.state.task(key)
        return task.n_crashes, len(task.silent_vms)

    def status(self):
        """Return the status of the job."""
        return self.state.jobs["j1"].status

    def test_silent_vm_is_no_crash(self):
        """Guards against a job that is given up for VMs that were out of reach."""
        for number in range(MAX_CRASHES + 1):
            self.lose(f"v{number}")
        self.assertEqual(self.counts(), (0, MAX_CRASHES + 1))
        self.assertEqual(self.status(), JobStatus.RUNNING)

    def test_answer_of_the_same_incarnation_takes_it_back(self):
        """Guards against a suspicion that outlives its refutation."""
        self.lose("v1")
        self.lose("v2")
        self.answer()
        self.assertEqual(self.counts(), (0, 1))

    def test_answer_of_another_incarnation_takes_nothing_back(self):
        self.lose("v1")
        self.answer(born_ms=2)
        self.assertEqual(self.counts(), (0, 1))

    def test_runs_are_no_suspects_once_all_silent_vms_have_answered(self):
        """Guards against a VM that is kept from others for a refuted suspicion."""
        self.lose("v1")
        self.add_vm("v2")
        self.start("v2")
        self.assertEqual(list(self.state.suspect_runs), ["v2"])
        self.answer()
        self.assertEqual(self.state.suspect_runs, {})

    def test_new_incarnation_confirms_the_crash_once(self):
        """Guards against a crash that counts twice, or not since the lease expired."""
        self.lose("v1")
        self.add_vm(born_ms=2)
        self.assertEqual(self.counts(), (1, 0))
        self.add_vm(born_ms=3)
        self.assertEqual(self.counts(), (1, 0))

    def test_crash_is_confirmed_by_what_takes_the_place_of_the_vm(self):
        """Guards against a crash that does not count since its VM was removed first."""
        for place in ({"machine": "m-v1"}, {"address": "v1:1"}):
            with self.subTest(**place):
                self.setUp()
                self.lose("v1")
                self.forget(is_silent=True)
                self.assertEqual(self.counts(), (0, 1))
                self.add_vm("other", born_ms=2, **place)
                self.assertEqual(self.counts(), (1, 0))

    def test_removal_of_a_replaced_vm_confirms_the_crash(self):
        self.lose("v1")
        self.forget(has_crashed=True)
        self.assertEqual(self.counts(), (1, 0))

    def test_vm_that_ended_by_an_order_is_no_suspicion(self):
        """Guards against a suspicion that nothing can refute any more."""
        self.lose("v1")
        self.forget()
        self.assertEqual(self.counts(), (0, 0))

    def test_vm_that_may_have_ended_by_an_order_is_no_crash(self):
        """Guards against a crash that is the move of the machine of a silent VM.

        The answer to the order is lost, so that the VM is not removed with it.
        """
        self.lose("v1")
        self.state.apply(RecordMove(machine="m-v1", now_ms=self.now_ms))
        self.add_vm("other", born_ms=2, machine="m-v1")
        self.assertEqual(self.counts(), (0, 0))

    def test_crash_after_an_order_is_confirmed(self):
        """Guards against a crashing task that is overlooked on a moved machine."""
        self.state.apply(RecordMove(machine="m-v1", now_ms=self.now_ms))
        self.now_ms += 300
        self.lose("v1")
        self.add_vm("other", born_ms=2, machine="m-v1")
        self.assertEqual(self.counts(), (1, 0))

    def test_vm_that_was_removed_and_comes_back_takes_it_back(self):
        self.lose("v1")
        self.forget(is_silent=True)
        self.add_vm()
        self.assertEqual(self.counts(), (0, 1))
        self.answer()
        self.assertEqual(self.counts(), (0, 0))

    def test_job_fails_when_the_last_crash_is_confirmed(self):
        """Guards against a crashing task that goes on since its VMs stay dark."""
        for number in range(MAX_CRASHES):
            self.lose(f"v{number}")
        for number in range(MAX_CRASHES):
            self.assertEqual(self.status(), JobStatus.RUNNING)
            change = self.add_vm(f"v{number}", born_ms=2)
        self.assertEqual(self.status(), JobStatus.FAILED)
        self.assertEqual(change.given_up, (KEY,))

    def test_task_is_quarantined_while_too_many_vms_may_have_crashed(self):
        """Guards against one more start of a task whose dead VMs are not known to be.

        The task of a VM that answers again may start.
        """
        for number in range(MAX_CRASHES - 1):
            self.lose(f"v{number}")
            self.assertFalse(is_quarantined(self.state.task(KEY)))
        self.lose("last")
        self.assertTrue(is_quarantined(self.state.task(KEY)))
        self.answer("v0")
        self.assertFalse(is_quarantined(self.state.task(KEY)))

    def test_silent_vms_are_in_the_snapshot(self):
        """Guards against a new leader that can't take a suspicion back."""
        self.lose("v1")
        self.add_vm("v2")
        self.start("v2")
        copy = JobsState()
        copy.restore(self.state.snapshot())
        self.assertEqual(copy.suspect_runs, self.state.suspect_runs)
        self.state = copy
        self.answer()
        self.assertEqual(self.counts(), (0, 0))
        self.assertEqual(copy.suspect_runs, {})

    def test_forgotten_jobs_leave_no_silent_vms(self):
        """Guards against an error at the return of a VM whose tasks are gone."""
        self.lose("v1")
        self.state.apply(CancelJob(job_id="j1", now_ms=self.now_ms))
        self.state.apply(ForgetJobs(job_ids=("j1",)))
        self.assertEqual(len(self.state.silent_vms), 0)
        self.answer()
        self.add_vm(born_ms=2)

    def test_run_that_was_listed_for_long_is_not_suspected(self):
        """Guards against a task that waits for silent VMs that it ran on for long."""
        self.add_vm()
        number = self.start()
        command = RecordEnds(
            vm_id="v1",
            born_ms=1,
            ends=(),
            now_ms=self.now_ms,
            past_probation=((KEY, number),),
        )
        self.state.apply(command)
        self.fall_silent()
        self.assertEqual(self.counts(), (0, 0))


class TestIncarnations(unittest.TestCase):
    """One incarnation is suspected and counts once, and an answer refutes all."""

    def setUp(self):
        self.state = make_state(make_vm(), jobs=[make_job()])

    def suspect_twice(self):
        """Let the incarnation fall silent again before its answer is recorded.

        It reports another address in between.
        """
        start(self.state)
        fall_silent(self.state)
        vm = msgspec.structs.replace(self.state.vms["v1"], address="other:1")
        self.state.apply(NoteVm(vm=vm, now_ms=NOW_MS))
        start(self.state)
        fall_silent(self.state)

    def test_crash_of_an_incarnation_that_was_silent_counts_once(self):
        """Guards against a VM that counts under its new run and for its silence."""
        start(self.state)
        fall_silent(self.state)
        start(self.state)
        self.state.apply(NoteVm(vm=make_vm(born_ms=2), now_ms=NOW_MS))
        self.assertEqual(self.state.task(KEY).n_crashes, 1)

    def test_incarnation_that_changes_its_address_is_suspected_once(self):
        """Guards against a suspicion for each address of one incarnation."""
        self.suspect_twice()
        self.assertEqual(len(self.state.task(KEY).silent_vms), 1)

    def test_answer_refutes_all_suspicions_of_its_incarnation(self):
        """Guards against a suspicion that no answer can take back."""
        self.suspect_twice()
        command = RecordEnds(
            vm_id="v1", born_ms=1, ends=(), now_ms=NOW_MS, is_alive=True
        )
        self.state.apply(command)
        self.assertEqual(self.state.task(KEY).silent_vms, [])

    def test_replica_from_a_snapshot_clears_the_same_suspicions(self):
        """Guards against replicas that differ after a restart of one of them."""
        self.suspect_twice()
        answer = RecordEnds(
            vm_id="v1", born_ms=1, ends=(), now_ms=NOW_MS, is_alive=True
        )
        self.state.apply(answer)
        copy = JobsState()
        copy.restore(self.state.snapshot())
        for state in (self.state, copy):
            state.apply(answer)
        self.assertEqual(copy.snapshot(), self.state.snapshot())


class TestOrders(VirtualTimeTestCase):
    """What orders for machines prove of VMs that had fallen silent before them."""

    async def asyncSetUp(self):
        self.vms = [make_vm(f"v{number}") for number in range(MAX_CRASHES)]
        self.state = make_state(*self.vms, jobs=[make_job()])
        for vm in self.vms:
            start(self.state, vm.vm_id)
            fall_silent(self.state, vm.vm_id)
        self.assertTrue(is_quarantined(self.state.task(KEY)))

    async def maintain_all(self):
        """Run a wave over all machines until it is complete."""
        clock = ManualClock()
        term = FakeTerm(self.state, clock)
        agents = {}
        for vm in self.state.vms.values():
            agents[vm.vm_id] = make_agent(vm, FakeEndpoint(), term)

        def drop_agent(command):
            if isinstance(command, ForgetVm):
                agents.pop(command.vm_id, None)

        term.on_command = drop_agent
        self.state.apply(
            StartWave(
                number=1,
                machines=tuple(vm.machine for vm in self.vms),
                duration_ms=4_000,
                max_at_once=len(self.vms),
                now_ms=term.now_ms(),
            )
        )
        manager = WaveManager(
            term=term,
            machines=MachineRegistry(term, agents, takeover_delay=CFG.interval),
            operations=FakePlatform(),
            backlog={},
            cfg=LeaderPolicy(waves=CFG),
        )
        task = asyncio.create_task(manager.run())
        self.addCleanup(task.cancel)
        await eventually(lambda: self.state.waves[1].is_complete)
        await asyncio.sleep(0.02)

    async def test_maintenance_proves_no_crash(self):
        """Guards against a sound job that fails since machines were maintained.

        The VMs were out of reach until they were removed; then an order ended them.
        """
        for vm in self.vms:
            command = ForgetVm(vm_id=vm.vm_id, born_ms=1, now_ms=NOW_MS, is_silent=True)
            self.state.apply(command)
        await self.maintain_all()
        for vm in self.vms:
            self.state.apply(NoteVm(vm=make_vm(vm.vm_id, born_ms=2), now_ms=NOW_MS))
        self.assertEqual(self.state.jobs["j1"].status, JobStatus.RUNNING)


if __name__ == "__main__":
    unittest.main()
