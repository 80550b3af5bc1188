"""Tests of claims that give way to long-running tasks: how many, and before what."""

import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    EndKind,
    JobSpec,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._machines import MachineRegistry
from redwingslip.scheduling._rounds import MAX_FIRST_START_WAIT, PlacementRounds
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)
from tests.test_scheduling_rounds import FakeAdvice

NEED = Amounts(1000, 10)


class TestRecalls(unittest.TestCase):
    """A pool of two VMs with four cores each."""

    def setUp(self):
        vms = [make_vm(vm_id, capacity=Amounts(4000, 4000)) for vm_id in ("v1", "v2")]
        self.state = make_state(*vms)
        self.term = FakeTerm(self.state, ManualClock())
        self.agents = {
            vm.vm_id: make_agent(vm, FakeEndpoint(), self.term) for vm in vms
        }
        for agent in self.agents.values():
            agent._has_renewed_lease = True
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=timedelta(0)
        )
        self.recalled = []

    def begin(self):
        """Begin rounds over the present state, and run the first one."""
        self.rounds = PlacementRounds(
            term=self.term,
            machines=self.machines,
            job_index=JobIndex(self.state),
            advice=FakeAdvice(),
        )
        return self.rounds.decide()

    def submit(self, job_id, **step):
        """Submit a job of one step."""
        spec = StepSpec(**{"n_tasks": 1, "need": NEED, **step})
        job = JobSpec(job_id=job_id, queue="q", pool="p", steps=(spec,))
        self.state.apply(SubmitJob(spec=job, now_ms=0))

    def run_tasks(self, job_id, vm_id, n_tasks):
        """Have a VM run the tasks of a job."""
        starts = tuple(
            RunStart(TaskKey(job_id, 0, 0, index), vm_id, 1) for index in range(n_tasks)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))

    def claim(self, vm_id):
        """Claim a machine for a wave, which gives it back when it is recalled."""

        def on_recall(machine):
            self.recalled.append(machine)
            self.machines.release(machine, "a wave")
            return True

        self.machines.claim(f"m-{vm_id}", "a wave", on_recall)

    def wait(self, duration):
        """Keep the VMs in contact for a time, and run a round."""
        self.term.clock.advance(duration)
        for agent in self.agents.values():
            agent.lease.note_contact(self.term.clock.monotonic())
        return [start.key.job_id for start in self.rounds.decide()]

    # Guards against waves that are set back for machines that nobody needs.
    def test_one_machine_is_recalled_for_several_tasks(self):
        for vm_id in ("v1", "v2"):
            self.claim(vm_id)
        for number in range(3):
            self.submit(f"long{number}", is_long_running=True)
        self.begin()
        self.wait(MAX_FIRST_START_WAIT)
        self.assertEqual(len(self.recalled), 1)
        self.assertEqual(len(self.wait(timedelta(0))), 3)

    # Guards against a gang that is stopped while a free machine is only claimed.
    def test_a_machine_is_recalled_before_a_gang_is_stopped(self):
        self.submit("gang", n_tasks=4, is_gang=True)
        self.run_tasks("gang", "v1", 4)
        self.claim("v2")
        self.submit("long", is_long_running=True)
        self.begin()
        self.wait(MAX_FIRST_START_WAIT)
        self.assertEqual(self.recalled, ["m-v2"])
        self.assertEqual(self.wait(timedelta(0)), ["long"])
        self.assertEqual(self.agents["v1"]._sender._pending, {})

    # Guards against a task that crashes its VMs and is placed beside others at once.
    def test_a_task_that_crashes_vms_waits_anew_for_a_vm_without_others(self):
        self.submit("other", n_tasks=2, is_long_running=True)
        for index, vm_id in enumerate(("v1", "v2")):
            start = RunStart(TaskKey("other", 0, 0, index), vm_id, 1)
            self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.submit("long", is_long_running=True)
        key = TaskKey("long", 0, 0, 0)
        self.state.task(key).crashed_machines = ["m8", "m9"]
        self.begin()
        self.assertEqual(self.wait(MAX_FIRST_START_WAIT), ["long"])
        start = RunStart(key, "v1", 1)
        self.state.apply(StartRuns(starts=(start,), now_ms=2))
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.wait(timedelta(0)), [])
        end = RunEnd(key, 1, EndKind.LOST)
        self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=(end,), now_ms=3))
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.wait(timedelta(0)), [])
