"""Tests of what a round of placement and an end of a run cost the leader.

The pattern is a queue that rises while the pools of all other queues are full of short
tasks: the leader places it in rounds, each after an answer of one of hundreds of VMs.
"""

import sys
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    EndKind,
    JobSpec,
    JobStatus,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.scheduling import LeaderPolicy, Scheduler
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._machines import MachineRegistry
from redwingslip.scheduling._rounds import PlacementRounds
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

CAPACITY = Amounts(64_000, 64_000)
N_WAITING = 4
# The measured work may differ a little, for example by a dict that grows.
TOLERANCE = 1.1


class NoAdvice:
    """An adviser that no queue of the plan needs."""


def count_calls(function):
    """Return how many calls, also of built-in functions, a call of `function` makes."""
    n_calls = 0

    def count(frame, event, arg):
        nonlocal n_calls
        n_calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return n_calls


def fill(state, vm, n_runs):
    """Let a job of `n_runs` tasks run on a VM."""
    step = StepSpec(n_tasks=n_runs, need=Amounts(1_000, 1))
    spec = JobSpec(job_id=vm.vm_id, queue="q", pool=vm.pool, steps=(step,))
    state.apply(SubmitJob(spec=spec, now_ms=1))
    starts = tuple(
        RunStart(TaskKey(vm.vm_id, 0, 0, index), vm.vm_id, vm.born_ms)
        for index in range(n_runs)
    )
    state.apply(StartRuns(starts=starts, now_ms=1))


class TestRoundCost(VirtualTimeTestCase):
    """What the cost of a round depends on."""

    def count_calls_of_round(
        self, *, n_vms=10, n_other_vms=0, runs_per_vm=1, n_waiting=N_WAITING, cpu=1_000
    ):
        """Return the calls of a round that follows another without a change.

        Parameters
        ----------
        n_vms, n_other_vms : int
            Number of VMs of that pool and of another pool.
        runs_per_vm : int
            Number of tasks that run on each VM.
        n_waiting : int
            Number of jobs of that pool that wait, with one task each.
        cpu : int
            CPU that each waiting task needs.
        """
        vms = [
            make_vm(f"v{n}", pool="p" if n < n_vms else "other", capacity=CAPACITY)
            for n in range(n_vms + n_other_vms)
        ]
        state = make_state(*vms)
        for vm in vms:
            fill(state, vm, runs_per_vm)
        clock = ManualClock()
        clock.advance(timedelta(seconds=10))
        term = FakeTerm(state, clock)
        agents = {vm.vm_id: make_agent(vm, FakeEndpoint(), term) for vm in vms}
        for agent in agents.values():
            agent._has_renewed_lease = True
            agent.lease.note_contact(clock.monotonic())
        step = StepSpec(n_tasks=1, need=Amounts(cpu, 1))
        for number in range(n_waiting):
            spec = JobSpec(job_id=f"w{number}", queue="q", pool="p", steps=(step,))
            state.apply(SubmitJob(spec=spec, now_ms=1))
        rounds = PlacementRounds(
            term=term,
            machines=MachineRegistry(term, agents, takeover_delay=timedelta(0)),
            job_index=JobIndex(state),
            advice=NoAdvice(),
        )
        rounds.decide()
        return count_calls(rounds.decide)

    def test_rounds_of_a_full_fleet_cost_the_same_as_of_an_empty_one(self):
        """Guards against starts that are late since the leader counts all runs anew."""
        few = self.count_calls_of_round(runs_per_vm=1)
        many = self.count_calls_of_round(runs_per_vm=32)
        self.assertLessEqual(many, TOLERANCE * few)

    def test_rounds_do_not_look_at_vms_of_pools_without_waiting_tasks(self):
        """Guards against starts that are late since other pools have many VMs."""
        alone = self.count_calls_of_round()
        among_many = self.count_calls_of_round(n_other_vms=90)
        # One look at each other VM and at its job is allowed.
        self.assertLessEqual(among_many, TOLERANCE * alone + 2 * 90)

    def test_a_full_pool_is_searched_once_for_tasks_of_the_same_size(self):
        """Guards against a backlog that costs a search of the pool for each job."""
        one = self.count_calls_of_round(n_vms=100, n_waiting=1, cpu=64_000)
        many = self.count_calls_of_round(n_vms=100, n_waiting=40, cpu=64_000)
        per_job = (many - one) / 39
        self.assertLess(per_job, 100)


class CountedRuns(dict):
    """The runs of a VM, which counts how often they are read."""

    n_read = 0

    def __iter__(self):
        """Yield the runs."""
        for run_id in super().__iter__():
            CountedRuns.n_read += 1
            yield run_id


class TestEndCost(VirtualTimeTestCase):
    """What the cost of an end of a run depends on."""

    async def test_the_end_of_a_job_does_not_read_the_runs_of_others(self):
        """Guards against ends that are late since hundreds of VMs have many runs.

        The pattern is a peak in which jobs are completed hundreds of times a second.
        """
        vms = [make_vm(f"v{number}", capacity=CAPACITY) for number in range(20)]
        state = make_state(*vms)
        for vm in vms:
            fill(state, vm, 8)
        term = FakeTerm(state)
        scheduler = Scheduler(
            term=term,
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )
        term.on_command = lambda command: scheduler.applied(command, None)
        for vm_id, runs in state.runs.items():
            state.runs[vm_id] = CountedRuns(runs)
        CountedRuns.n_read = 0
        ends = tuple(
            RunEnd(TaskKey("v0", 0, 0, index), 1, EndKind.DONE) for index in range(8)
        )
        await term.propose(RecordEnds(vm_id="v0", born_ms=1, ends=ends, now_ms=2))
        self.assertEqual(state.jobs["v0"].status, JobStatus.COMPLETED)
        self.assertEqual(CountedRuns.n_read, 0)


if __name__ == "__main__":
    unittest.main()
