"""Tests of taking long-running tasks off a machine before its maintenance."""

import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    ActiveRun,
    Amounts,
    EndKind,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    TaskKey,
)
from redwingslip.scheduling import ListedRun, MachineRegistry
from redwingslip.scheduling._evacuation import Evacuation
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)

TAKEOVER_DELAY = timedelta(0)


def key(index):
    """Return a task of the job."""
    return TaskKey("j1", 0, 0, index)


class TestEvacuation(unittest.IsolatedAsyncioTestCase):
    """A wave over machines that hold several tasks of a step with a budget."""

    def build(self, *vms, n_tasks=2, budget=1, **step):
        job = make_job(
            n_tasks=n_tasks, is_long_running=True, disruption_budget=budget, **step
        )
        self.state = make_state(*vms, jobs=[job])
        self.clock = ManualClock()
        term = FakeTerm(self.state, self.clock)
        self.agents = {}
        for vm in vms:
            agent = make_agent(vm, FakeEndpoint(), term)
            agent._has_polled = True
            agent.lease.note_contact(self.clock.monotonic())
            self.agents[vm.vm_id] = agent
        self.machines = MachineRegistry(
            term, self.agents, takeover_delay=TAKEOVER_DELAY
        )
        self.ordered = set()
        self.evacuation = Evacuation(
            term=term, machines=self.machines, ordered=self.ordered
        )

    def run_task(self, index, vm_id, percent=100) -> ActiveRun:
        """Have a task run on a VM, at work if its percentage says so."""
        start = RunStart(key(index), vm_id, 1)
        (run,) = self.state.apply(StartRuns(starts=(start,), now_ms=1))
        listed = ListedRun(run.key, run.number, "", percent)
        self.agents[vm_id].listed_runs[(run.key, run.number)] = listed
        return run

    def end(self, run):
        """Have a run end by a stop."""
        ends = (RunEnd(run.key, run.number, EndKind.STOPPED),)
        self.state.apply(RecordEnds(vm_id=run.vm_id, born_ms=1, ends=ends, now_ms=2))
        del self.agents[run.vm_id].listed_runs[(run.key, run.number)]

    def stopping_indexes(self, *runs):
        """Return which of some runs are told to stop."""
        return [
            run.key.index
            for run in runs
            if self.agents[run.vm_id].is_stopping(run.key, run.number)
        ]

    def may_stop_machine(self, vm_id):
        return self.evacuation.keeps_budgets(self.state.runs_of(vm_id, 1))

    async def test_tasks_leave_one_at_a_time(self):
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(3)]
        self.assertEqual(self.evacuation.n_stops("m-v1"), 2)
        for _ in range(3):
            self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_the_next_task_waits_until_the_last_is_at_work_elsewhere(self):
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(3)]
        self.evacuation.advance("m-v1")
        self.end(runs[0])
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [], "it has no run")
        moved = self.run_task(0, "v2", percent=40)
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [], "it is starting")
        at_work = ListedRun(moved.key, moved.number, "", 100)
        self.agents["v2"].listed_runs[(moved.key, moved.number)] = at_work
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs[1:]), [1])

    async def test_what_the_budget_allows_ends_with_the_machine(self):
        self.build(make_vm("v1"), make_vm("v2"))
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.assertFalse(self.may_stop_machine("v1"))
        self.evacuation.advance("m-v1")
        self.assertFalse(self.may_stop_machine("v1"), "one of them is being stopped")
        self.end(runs[0])
        self.assertFalse(self.may_stop_machine("v1"), "one is away")
        self.run_task(0, "v2")
        self.assertTrue(self.may_stop_machine("v1"))
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(runs[1]), [])

    async def test_a_task_that_is_stopped_on_another_machine_counts_as_away(self):
        vms = [make_vm(name) for name in ("v1", "v2", "v3")]
        self.build(*vms, n_tasks=4)
        runs = [self.run_task(index, f"v{1 + index // 2}") for index in range(4)]
        self.evacuation.advance("m-v1")
        self.evacuation.advance("m-v2")
        self.assertEqual(self.stopping_indexes(*runs), [0])

    async def test_a_task_of_a_machine_that_is_being_ordered_counts_as_away(self):
        self.build(make_vm("v1"), make_vm("v2"), make_vm("v3"), n_tasks=3)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.run_task(2, "v2")
        self.ordered.add("m-v2")
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_a_task_without_another_place_stays_and_a_vm_is_asked_for(self):
        self.build(make_vm("v1"), make_vm("v2", capacity=Amounts(500, 4000)))
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])
        self.assertEqual(self.machines.n_vms_needed["p"], 1)

    async def test_a_vm_that_is_about_to_leave_is_no_place(self):
        self.build(make_vm("v1"), make_vm("v2"))
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.machines.claim("m-v2", "a move")
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_the_spread_of_the_step_is_kept(self):
        self.build(make_vm("v1"), make_vm("v2"), n_tasks=4, max_per_vm=2)
        runs = [self.run_task(index, f"v{1 + index // 2}") for index in range(4)]
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])

    async def test_tasks_without_a_budget_need_no_evacuation(self):
        self.build(make_vm("v1"), make_vm("v2"), budget=0)
        runs = [self.run_task(index, "v1") for index in range(2)]
        self.assertTrue(self.may_stop_machine("v1"))
        self.evacuation.advance("m-v1")
        self.assertEqual(self.stopping_indexes(*runs), [])


if __name__ == "__main__":
    unittest.main()
