"""Tests of the suspicions for one incarnation of a VM, and of orders after them."""

import asyncio
import unittest

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    EndKind,
    ForgetVm,
    JobsState,
    JobStatus,
    NoteVm,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    TaskKey,
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


class TestOrders(unittest.IsolatedAsyncioTestCase):
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
