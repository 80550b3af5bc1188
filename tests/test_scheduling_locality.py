"""Tests of rounds of placement in which tasks wait for the rack of their data."""

import unittest
from datetime import timedelta
from unittest import mock

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    EndKind,
    ForgetVm,
    JobSpec,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.placement import LocalitySettings
from redwingslip.scheduling import LeaderPolicy, MachineRegistry, Scheduler
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._locality import RackLocality
from redwingslip.scheduling._moves import ArrivingVm
from redwingslip.scheduling._rounds import PlacementRounds
from redwingslip.workers import RunTimeModel, RunTimeSettings, StepKey
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
NEED = Amounts(1000, 100)
CAPACITY = Amounts(1000, 1000)


class TestRackLocality(unittest.TestCase):
    """A pool of one VM with the data, which runs another task, and one without it.

    Runs take 2 s where their data is, and 4 s elsewhere.
    """

    def setUp(self):
        vms = [
            make_vm("near", capacity=CAPACITY, labels=("a", "r1")),
            make_vm("far", capacity=CAPACITY.times(2), labels=("a", "r2")),
        ]
        self.state = make_state(*vms)
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        self.term = FakeTerm(self.state, self.clock)
        self.events = []
        self.term.emit = lambda name, **fields: self.events.append((name.value, fields))
        self.run_times = RunTimeModel(RunTimeSettings(), remote_penalty=2.0)
        for number in range(8):
            self.run_times.record(
                StepKey(f"done{number}", 0, 0),
                queue="q",
                vm_id="far",
                estimate=4 * SECOND,
                run_time=4 * SECOND,
                is_remote=True,
            )
        self.arriving = []
        self.job_index = JobIndex(self.state)
        self.occupy("running", "near", age=1200 * MS)
        self.elect(vms)

    def occupy(self, job_id, vm_id, *, age=0 * MS, **step):
        """Have a task without data run on a VM."""
        self.submit(job_id, data_rack="", **step)
        starts = (RunStart(TaskKey(job_id, 0, 0, 0), vm_id, 1),)
        now_ms = self.term.now_ms() - age // MS
        self.state.apply(StartRuns(starts=starts, now_ms=now_ms))
        self.job_index.refresh_job(job_id)

    def submit(self, job_id, *, accepted_before=0 * SECOND, **step):
        """Accept a job of one task, whose estimate is twice its run time."""
        fields = {"n_tasks": 1, "need": NEED, "estimate_ms": 4000, "data_rack": "r1"}
        steps = (StepSpec(**{**fields, **step}),)
        spec = JobSpec(job_id=job_id, queue="q", pool="p", steps=steps)
        accepted_ms = self.term.now_ms() - accepted_before // MS
        self.state.apply(SubmitJob(spec=spec, now_ms=accepted_ms))
        self.job_index.refresh_job(job_id)

    def elect(self, vms):
        """Begin a term, of which all VMs have answered."""
        agents = {vm.vm_id: make_agent(vm, FakeEndpoint(), self.term) for vm in vms}
        for agent in agents.values():
            agent._has_renewed_lease = True
        self.agents = agents
        self.machines = MachineRegistry(self.term, agents, takeover_delay=0 * SECOND)
        locality = RackLocality(
            term=self.term,
            machines=self.machines,
            run_times=self.run_times,
            arriving=lambda pool: self.arriving,
            cfg=LocalitySettings(remote_penalty=2.0),
        )
        self.job_index = JobIndex(self.state)
        self.rounds = PlacementRounds(
            term=self.term,
            machines=self.machines,
            job_index=self.job_index,
            advice=None,
            locality=locality,
        )

    def decide(self, after=0 * SECOND):
        """Let time pass in which all VMs answer, and return the VM of each start."""
        self.clock.advance(after)
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())
        starts = self.rounds.decide()
        self.state.apply(StartRuns(starts=starts, now_ms=self.term.now_ms()))
        for start in starts:
            self.job_index.refresh_job(start.key.job_id)
        return {start.key.job_id: start.vm_id for start in starts}

    def details(self, name):
        return [fields["detail"] for event, fields in self.events if event == name]

    def end_running(self, job_id="running", vm_id="near"):
        end = RunEnd(TaskKey(job_id, 0, 0, 0), 1, EndKind.DONE)
        command = RecordEnds(vm_id=vm_id, born_ms=1, ends=(end,), now_ms=1, cursor=1)
        self.state.apply(command)

    def test_a_wait_ends_in_the_rack_and_is_logged(self):
        """Guards against machines that are ordered for tasks which wait by choice."""
        self.submit("j")
        self.assertEqual(self.decide(), {})
        self.assertFalse(self.rounds.backlog)
        (begun,) = self.details("rack_wait.begun")
        self.assertRegex(begun, "waits for room in rack r1: expected in 8.. ms, saves")
        self.end_running()
        self.assertEqual(self.decide(300 * MS), {"j": "near"})
        (ended,) = self.details("rack_wait.ended")
        self.assertIn("in the rack after 300 ms; +1700 ms gained", ended)

    def test_a_more_urgent_task_leaves_the_place_to_the_one_that_waits(self):
        """Guards against waits in vain, since the fullest VMs are filled first."""
        self.submit("j")
        self.assertEqual(self.decide(), {})
        self.end_running()
        self.submit("urgent", data_rack="", estimate_ms=1000)
        self.assertEqual(self.decide(100 * MS), {"j": "near", "urgent": "far"})

    def test_a_run_that_overruns_its_estimate_ends_the_wait(self):
        """Guards against a task that waits for good for a stalled run."""
        self.submit("j")
        waited = 0 * SECOND
        while not (starts := self.decide(100 * MS)) and waited < 4 * SECOND:
            waited += 100 * MS
        self.assertEqual(starts, {"j": "far"})
        self.assertLessEqual(waited, 2 * SECOND)
        self.assertIn("elsewhere after", self.details("rack_wait.ended")[0])

    def test_a_vm_of_the_rack_lost_during_the_wait(self):
        """Guards against a wait for a place that went with its VM."""
        self.submit("j")
        self.assertEqual(self.decide(), {})
        self.agents["near"]._sender.is_unresponsive = True
        self.assertEqual(self.decide(100 * MS), {"j": "far"})

    def test_a_wait_for_any_room_does_not_count(self):
        """Guards against remote runs under load, when tasks have waited for capacity.

        Simulated bursts of five times the mean had 0.90 instead of 0.97 of the jobs in
        time while it did.
        """
        self.end_running()
        self.occupy("long", "near", estimate_ms=8000)
        for job_id in ("short0", "short1"):
            self.occupy(job_id, "far")
        self.decide()
        self.submit("j")
        self.assertEqual(self.decide(), {})
        self.assertTrue(self.rounds.backlog)
        self.end_running("short0", "far")
        self.assertEqual(self.decide(2500 * MS), {})
        self.assertEqual(len(self.details("rack_wait.begun")), 1)

    def test_a_new_leader_counts_the_wait_under_the_earlier_one(self):
        """Guards against waits that begin anew with each leader."""
        for waited, starts in ((900 * MS, {}), (1500 * MS, {"j": "far"})):
            self.setUp()
            self.submit("j", accepted_before=waited)
            self.assertEqual(self.decide(), starts)

    def test_a_new_leader_waits_for_vms_that_have_yet_to_answer(self):
        """Guards against remote runs of all tasks that wait at a change of leader."""
        self.end_running()
        self.agents["near"]._has_renewed_lease = False
        self.submit("j")
        self.assertEqual(self.decide(), {})
        self.agents["near"]._has_renewed_lease = True
        self.assertEqual(self.decide(100 * MS), {"j": "near"})

    def test_a_machine_on_its_way_to_the_pool(self):
        vm = ArrivingVm("m", ("a", "r1"), CAPACITY, 10.5 * SECOND, 11.5 * SECOND)
        self.arriving.append(vm)
        self.end_running()
        self.state.apply(ForgetVm(vm_id="near", born_ms=1, now_ms=1))
        del self.agents["near"]
        self.submit("j")
        self.assertNotIn("j", self.decide())
        self.arriving.clear()
        self.assertIn("j", self.decide())

    def test_an_error_in_an_estimate_holds_up_no_task(self):
        """Guards against jobs that never start since a decision about them fails."""
        self.submit("j")
        for part in ("deviation", "expected"):
            broken = mock.Mock(side_effect=ZeroDivisionError)
            with mock.patch.object(RunTimeModel, part, broken):
                self.assertEqual(self.rounds.decide()[0].vm_id, "far")
        with mock.patch.object(RackLocality, "_new_waits", broken):
            self.assertEqual(self.decide(), {"j": "far"})
        self.assertEqual(len(self.details("warning")), 1)

    def test_a_cancelled_job_ends_its_wait(self):
        self.submit("j")
        self.decide()
        del self.state.jobs["j"]
        self.job_index.forget_job("j")
        self.decide()
        self.assertIn("no start", self.details("rack_wait.ended")[0])

    def test_a_scheduler_waits_only_with_a_penalty(self):
        """Guards against a setting that the leader does not pass on."""
        for penalty, deferred in ((1.0, set()), (2.0, {"j"})):
            cfg = LeaderPolicy(locality=LocalitySettings(remote_penalty=penalty))
            scheduler = Scheduler(
                term=self.term,
                orders=FakeEndpoint(),
                operations=FakePlatform(),
                adviser=None,
                cfg=cfg,
            )
            scheduler.agents.update(self.agents)
            self.rounds, self.job_index = scheduler._rounds, scheduler._job_index
            self.submit("j")
            self.assertEqual({"j"} - self.decide().keys(), deferred)
            self.setUp()

    def test_without_a_penalty_nothing_waits(self):
        self.assertEqual(LeaderPolicy().locality.remote_penalty, 1)
        self.rounds._locality = None
        self.submit("j")
        self.assertEqual(self.decide(), {"j": "far"})


if __name__ == "__main__":
    unittest.main()
