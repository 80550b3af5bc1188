"""Tests of the evacuation of long-running tasks before maintenance."""

import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    ActiveRun,
    Amounts,
    EndKind,
    RecordEnds,
    RecordMaintenance,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    TaskKey,
)
from redwingslip.scheduling import ListedRun, MachineRegistry
from redwingslip.scheduling._evacuation import Evacuation
from redwingslip.scheduling._work_checks import MAX_AGE, WorkChecks
from tests.support_scheduling import (
    FakeEndpoints,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

TAKEOVER_DELAY = timedelta(0)
MAX_WAIT = timedelta(seconds=20)


def key(index):
    """Return a task of the job."""
    return TaskKey("j1", 0, 0, index)


class TestEvacuation(VirtualTimeTestCase):
    """Machines with several tasks of a step that has a disruption budget."""

    def build(self, *vms, n_tasks=2, budget=1, **step):
        job = make_job(
            n_tasks=n_tasks, is_long_running=True, disruption_budget=budget, **step
        )
        self.state = make_state(*vms, jobs=[job])
        self.clock = ManualClock()
        term = FakeTerm(self.state, self.clock)
        self.agents = {}
        self.endpoints = FakeEndpoints()
        self.checks = WorkChecks(term)
        self.addCleanup(self.checks.close)
        for vm in vms:
            agent = make_agent(vm, self.endpoints.of_vm(vm.vm_id), term)
            agent._has_renewed_lease = True
            agent.lease.note_contact(self.clock.monotonic())
            self.agents[vm.vm_id] = agent
        self.machines = MachineRegistry(
            term, self.agents, takeover_delay=TAKEOVER_DELAY
        )
        self.ordered = set()
        self.maintained_at = {}
        self.evacuation = Evacuation(
            term=term,
            machines=self.machines,
            ordered=self.ordered,
            maintained_at=self.maintained_at,
            checks=self.checks,
        )

    def run_task(self, index, vm_id, percent=100) -> ActiveRun:
        """Start a task on a VM and list it with a progress; 100 means at work."""
        start = RunStart(key(index), vm_id, 1)
        (run,) = self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.list_run(run, percent)
        return run

    def list_run(self, run, percent=100):
        """List a run in the answer to the last poll and in the next ones."""
        listed = ListedRun(run.key, run.number, "", percent)
        self.agents[run.vm_id].listed_runs[(run.key, run.number)] = listed
        self.endpoints.of_vm(run.vm_id).runs[(run.key, run.number)] = percent

    def end(self, run):
        """Record that a run was stopped."""
        ends = (RunEnd(run.key, run.number, EndKind.STOPPED),)
        self.state.apply(RecordEnds(vm_id=run.vm_id, born_ms=1, ends=ends, now_ms=2))
        del self.agents[run.vm_id].listed_runs[(run.key, run.number)]
        del self.endpoints.of_vm(run.vm_id).runs[(run.key, run.number)]

    def stopping_indexes(self, *runs):
        """Return the task indexes of the given runs that have a stop order."""
        return [
            run.key.index
            for run in runs
            if self.agents[run.vm_id].is_stopping(run.key, run.number)
        ]

    async def advance(self, machine):
        """Have the next task leave a machine, after the answers that this needs."""
        for _ in range(2):
            self.machines.n_vms_needed.clear()
            self.checks.begin_round()
            self.evacuation.advance(machine)
            await self.checks.wait(MAX_WAIT)

    async def may_stop_machine(self, vm_id):
        """Return whether budgets allow it, and check that answers confirm that."""
        runs = self.state.runs_of(vm_id, 1)
        self.checks.begin_round()
        self.evacuation.confirms_budgets(runs)
        await self.checks.wait(MAX_WAIT)
        may_stop = self.evacuation.keeps_budgets(runs)
        self.assertEqual(self.evacuation.confirms_budgets(runs), may_stop)
        return may_stop

    async def test_tasks_on_a_machine_that_left_its_wave_are_available(self):
        """Guards against tasks that count as away since an order was refused."""
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=2)
        for index, vm_id in enumerate(("v1", "v2")):
            self.run_task(index, vm_id)
        wave = StartWave(
            number=1, machines=("m-v2",), duration_ms=1, max_at_once=1, now_ms=1
        )
        self.state.apply(wave)
        self.state.apply(RecordMaintenance(number=1, ordered=("m-v2",), now_ms=1))
        self.assertFalse(await self.may_stop_machine("v1"))
        self.state.apply(RecordMaintenance(number=1, gone=("m-v2",), now_ms=1))
        self.assertTrue(await self.may_stop_machine("v1"))

    # AVAIL: an order that was repeated had ended a VM, whose tasks counted as at work.
    async def test_tasks_on_a_vm_that_may_have_ended_are_unavailable(self):
        """Guards against two machines of one step that are maintained at a time."""
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=2)
        for index, vm_id in enumerate(("v1", "v2")):
            self.run_task(index, vm_id)
        self.assertTrue(await self.may_stop_machine("v1"))
        self.maintained_at["m-v2"] = self.clock.monotonic()
        self.assertFalse(await self.may_stop_machine("v1"))
        self.clock.advance(timedelta(milliseconds=1))
        self.agents["v2"].lease.note_contact(self.clock.monotonic())
        self.assertTrue(await self.may_stop_machine("v1"))

    async def test_tasks_leave_one_at_a_time(self):
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(3)]
        self.assertEqual(self.evacuation.n_stops("m-v1"), 2)
        for _ in range(3):
            await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_the_next_task_waits_until_the_last_is_at_work_elsewhere(self):
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(3)]
        await self.advance("m-v1")
        self.end(runs[0])
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [], "the task has no run")
        moved = self.run_task(0, "v2", percent=40)
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [], "the task is starting")
        self.list_run(moved)
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [1])

    # AVAIL: a task was stopped beside one that had just been placed on its machine.
    async def test_no_task_is_stopped_beside_one_that_is_starting(self):
        """Guards against two tasks of a step that are away where one may be."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(0, "v1"), self.run_task(1, "v1", percent=40)]
        self.run_task(2, "v2")
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [1], "it is away already")
        self.end(runs[1])
        moved = self.run_task(1, "v3", percent=40)
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(runs[0]), [])
        self.assertFalse(await self.may_stop_machine("v1"))
        self.list_run(moved)
        self.assertTrue(await self.may_stop_machine("v1"))

    async def test_no_task_is_stopped_beside_two_that_are_starting(self):
        """Guards against a stop that leaves a third task of a step away."""
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=3)
        runs = [self.run_task(index, "v1", percent=40) for index in range(2)]
        runs.append(self.run_task(2, "v1"))
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])
        self.list_run(runs[0])
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [1])

    # AVAIL: a task counted as at work for 2.2 s after the last answer of its VM.
    async def test_no_task_is_stopped_beside_a_vm_that_does_not_answer(self):
        """Guards against a stop of a task beside one whose VM has just ended."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.endpoints.of_vm("v2").is_unresponsive = True
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])
        self.endpoints.of_vm("v2").is_unresponsive = False
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_no_task_is_stopped_beside_one_that_has_just_ended(self):
        """Guards against a stop of a task beside one whose end is not recorded yet."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.endpoints.of_vm("v2").runs.clear()
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_an_answer_counts_only_for_a_short_time(self):
        """Guards against a stop that relies on an answer from long before."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.checks.begin_round()
        self.evacuation.advance("m-v1")
        await self.checks.wait(MAX_WAIT)
        self.endpoints.of_vm("v2").is_unresponsive = True
        self.clock.advance(MAX_AGE * 2)
        self.checks.begin_round()
        self.clock.advance(MAX_AGE * 2)
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_a_slow_round_still_uses_the_answers_before_it(self):
        """Guards against tasks that never leave if rounds take long."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        for _ in range(2):
            self.checks.begin_round()
            self.evacuation.advance("m-v1")
            await self.checks.wait(MAX_WAIT)
            self.clock.advance(MAX_AGE * 2)
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_no_task_is_stopped_on_a_vm_that_does_not_answer(self):
        """Guards against a stop that arrives late, beside that of another task."""
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.endpoints.of_vm("v1").is_unresponsive = True
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_tasks_within_the_budget_end_with_the_machine(self):
        self.build(make_vm("v1"), make_vm("v2"))
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.assertFalse(await self.may_stop_machine("v1"))
        await self.advance("m-v1")
        self.assertFalse(await self.may_stop_machine("v1"), "one task is being stopped")
        self.end(runs[0])
        self.assertFalse(await self.may_stop_machine("v1"), "one task is unavailable")
        self.run_task(0, "v2")
        self.assertTrue(await self.may_stop_machine("v1"))
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(runs[1]), [])

    async def test_a_task_stopping_on_another_machine_is_unavailable(self):
        vms = [make_vm(name) for name in ("v1", "v2", "v3")]
        self.build(*vms, n_tasks=4)
        runs = [self.run_task(index, f"v{1 + index // 2}") for index in range(4)]
        await self.advance("m-v1")
        await self.advance("m-v2")
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_a_task_on_a_machine_with_an_order_is_unavailable(self):
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.ordered.add("m-v2")
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_a_task_that_fits_nowhere_stays_and_a_vm_is_requested(self):
        self.build(make_vm("v1"), make_vm("v2", capacity=Amounts(500, 4000)))
        runs = [self.run_task(index, "v1") for index in range(2)]
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])
        self.assertEqual(self.machines.n_vms_needed["p"], 1)

    async def test_a_claimed_machine_is_no_target(self):
        self.build(make_vm("v1"), make_vm("v2"))
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.machines.claim("m-v2", "a move")
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_the_maximum_of_tasks_per_vm_is_respected(self):
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=4, max_per_vm=2)
        runs = [self.run_task(index, f"v{1 + index // 2}") for index in range(4)]
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_tasks_without_a_budget_need_no_evacuation(self):
        self.build(make_vm("v1"), make_vm("v2"), budget=0)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.assertTrue(await self.may_stop_machine("v1"))
        await self.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])


if __name__ == "__main__":
    unittest.main()
