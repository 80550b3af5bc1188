"""Tests of how the leader's scheduling reacts to commands."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

import msgspec

from redwingslip.jobs import (
    CancelJob,
    EndKind,
    ForgetVm,
    NoteVm,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    TaskKey,
)
from redwingslip.jobs._crashes import MAX_CRASHES
from redwingslip.observe import EventName
from redwingslip.scheduling import LeaderPolicy, Scheduler, VmAgent
from tests.support_scheduling import (
    FakeEndpoint,
    FakeEndpoints,
    FakePlatform,
    FakeTerm,
    eventually,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

KEY = TaskKey("j1", 0, 0, 0)


def make_scheduler(term, endpoint):
    """Return the scheduling of a term, over one fake endpoint."""
    return Scheduler(
        term=term,
        orders=endpoint,
        operations=FakePlatform(),
        adviser=None,
        cfg=LeaderPolicy(),
    )


class TestScheduler(VirtualTimeTestCase):
    """Commands whose handling fails, and runs that are no longer needed."""

    async def asyncSetUp(self):
        self.term = FakeTerm(make_state(make_vm(), jobs=[make_job()]))
        self.warnings = []
        self.unmatched = []
        self.failed = []
        self.proposed = []
        self.term.emit = self.emit
        self.endpoint = FakeEndpoint()
        self.scheduler = make_scheduler(self.term, self.endpoint)

    async def asyncTearDown(self):
        self.scheduler.close()
        await asyncio.sleep(0)

    def emit(self, name, *, detail="", **fields):
        """Record the warnings, the unmatched ends and the jobs that failed."""
        if name is EventName.WARNING:
            self.warnings.append(detail)
        elif name is EventName.RUN_END_UNMATCHED:
            self.unmatched.append(detail)
        elif name is EventName.JOB_FAILED:
            self.failed.append((fields["request_id"], detail))

    async def test_a_reaction_that_fails_ends_no_leader(self):
        """Guards against one task whose start ends controller after controller."""
        self.scheduler.begin()
        command = StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2)
        with mock.patch.object(VmAgent, "start", side_effect=ValueError("bad run")):
            self.scheduler.applied(command, self.term.state.apply(command))
        self.assertEqual(
            self.warnings, ["reaction to StartRuns failed: ValueError('bad run')"]
        )
        # The next poll finds that the run was never started.
        await eventually(lambda: self.endpoint.started == [(KEY, 1)])

    # LOST: runs were ordered again and again with the ticket of an earlier incarnation.
    async def test_a_new_incarnation_needs_tickets_of_its_own(self):
        self.scheduler.begin()
        for forget in (False, True):
            born_ms = self.term.state.vms["v1"].born_ms
            self.scheduler._advice._tickets = {KEY[:3]: {"v1": "ticket"}}
            commands = [NoteVm(vm=make_vm(born_ms=born_ms + 1), now_ms=2)]
            if forget:
                gone = ForgetVm(vm_id="v1", born_ms=born_ms, now_ms=2)
                commands.insert(0, gone)
            for command in commands:
                self.scheduler.applied(command, self.term.state.apply(command))
            self.assertEqual(self.scheduler._advice._tickets, {KEY[:3]: {}})

    async def test_an_end_of_a_run_that_was_closed_before_is_logged(self):
        """Guards against ends that are acknowledged without a trace in the log."""
        state = self.term.state
        state.apply(StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2))
        for kind, cursor in ((EndKind.LOST, 0), (EndKind.LOST, 0), (EndKind.DONE, 1)):
            command = RecordEnds(
                vm_id="v1",
                born_ms=1,
                ends=(RunEnd(KEY, 1, kind),),
                now_ms=3,
                cursor=cursor,
            )
            self.scheduler.applied(command, state.apply(command))
        (line,) = self.unmatched
        self.assertTrue(line.startswith("0.0.0 run 1 done on incarnation 1"), line)

    async def test_job_that_fails_with_the_return_of_a_silent_vm_is_stopped(self):
        """Guards against tasks of a failed job that go on, with no line in the log."""
        job = make_job("crashing", n_tasks=2)
        vms = [make_vm(f"v{n}") for n in range(MAX_CRASHES)]
        state = self.term.state = make_state(*vms, make_vm("sound"), jobs=[job])
        # With one endpoint for all, each VM would list the runs of the others.
        endpoints = FakeEndpoints()
        self.scheduler = make_scheduler(self.term, endpoints)
        self.scheduler.begin()
        first, second = (TaskKey("crashing", 0, 0, n) for n in range(2))

        def apply(command):
            self.scheduler.applied(command, state.apply(command))

        # Both tasks run from the start, so that no round places one on another VM.
        starts = (RunStart(first, "v0", 1), RunStart(second, "sound", 1))
        apply(StartRuns(starts=starts, now_ms=2))
        await eventually(lambda: (second, 1) in endpoints.of_vm("sound").runs)
        for number, vm in enumerate(vms, 1):
            if number > 1:
                apply(StartRuns(starts=(RunStart(first, vm.vm_id, 1),), now_ms=2))
            places = [(run.number, run.vm_id) for run in state.task(first).runs]
            self.assertEqual(places, [(number, vm.vm_id)])
            command = RecordEnds(
                vm_id=vm.vm_id,
                born_ms=1,
                ends=(RunEnd(first, number, EndKind.LOST),),
                now_ms=3,
                is_silent=True,
            )
            apply(command)
        for vm in vms:
            self.assertEqual(self.failed, [])
            self.assertEqual(endpoints.of_vm("sound").stopped, [])
            endpoints.of_vm(vm.vm_id).born_ms = 2
            apply(NoteVm(vm=make_vm(vm.vm_id, born_ms=2), now_ms=4))
        self.assertEqual(
            self.failed, [("crashing", "0.0.0 run 4: crashed VMs of the task: 4")]
        )
        await eventually(lambda: endpoints.of_vm("sound").stopped == [(second, 1)])

    async def test_a_cancellation_of_an_unknown_job_is_forgotten_like_a_job(self):
        """Guards against cancellations that fill the state, or go too early."""
        state = self.term.state
        state.apply(CancelJob(job_id="j2", now_ms=0))
        with mock.patch("asyncio.sleep", side_effect=[None, None, StopAsyncIteration]):
            # At the second pass, the cancellation is older than `keep_ended`.
            moments = [timedelta(seconds=100), timedelta(seconds=151)]
            self.term.now_ms = lambda: moments.pop(0) // timedelta(milliseconds=1)
            self.term.propose_or_log = self.propose
            with self.assertRaises(StopAsyncIteration):
                await self.scheduler._forget_forever()
        (command,) = self.proposed
        state.apply(command)
        self.assertEqual((command.job_ids, state.early_cancels), ((), {}))

    async def propose(self, command):
        """Record a proposed command."""
        self.proposed.append(command)

    def start_copies(self):
        """Start two runs of a speculative task on two VMs, and stop no run yet."""
        state = make_state(
            make_vm(), make_vm("v2"), jobs=[make_job(n_tasks=2, is_speculative=True)]
        )
        for vm_id in ("v1", "v2"):
            start = RunStart(KEY, vm_id, 1)
            state.apply(StartRuns(starts=(start,), now_ms=2))
        self.watch_stops(state)
        return state

    def watch_stops(self, state):
        """Schedule over a state, with agents that only record the stops."""
        self.term.state = state
        self.scheduler = make_scheduler(self.term, self.endpoint)
        self.stopped = []
        for method, replacement in (
            ("begin", lambda agent: None),
            ("stop", lambda agent, *run: self.stopped.append((agent.vm.vm_id, *run))),
        ):
            patch = mock.patch.object(VmAgent, method, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    async def test_a_copy_is_stopped_when_another_run_is_done(self):
        """Guards against copies that hold capacity after their task is done."""
        state = self.start_copies()
        self.scheduler.begin()
        done = (RunEnd(KEY, 1, EndKind.DONE),)
        command = RecordEnds(vm_id="v1", born_ms=1, ends=done, now_ms=3)
        self.scheduler.applied(command, state.apply(command))
        self.assertEqual(self.stopped, [("v2", KEY, 2)])

    async def test_a_gang_is_stopped_when_its_earlier_run_was_done(self):
        """Guards against members that work on alone after their gang is done."""
        job = make_job(n_tasks=2, is_gang=True)
        next_step = StepSpec(n_tasks=1, after=(0,))
        job = msgspec.structs.replace(job, steps=(*job.steps, next_step))
        state = make_state(make_vm(), jobs=[job])
        keys = [KEY, KEY._replace(index=1)]
        starts = tuple(RunStart(key, "v1", 1) for key in keys)
        self.watch_stops(state)
        self.scheduler.begin()
        for command in (
            StartRuns(starts=starts, now_ms=2),
            RecordEnds(
                vm_id="v1",
                born_ms=1,
                ends=tuple(RunEnd(key, 1, EndKind.LOST) for key in keys),
                now_ms=3,
            ),
            StartRuns(starts=starts, now_ms=4),
            RecordEnds(
                vm_id="v1",
                born_ms=1,
                ends=(RunEnd(KEY, 1, EndKind.DONE),),
                now_ms=5,
                cursor=1,
            ),
        ):
            self.scheduler.applied(command, state.apply(command))
        self.assertEqual(self.stopped, [("v1", key, 2) for key in keys])

    async def test_a_new_leader_stops_the_copies_of_done_tasks(self):
        state = self.start_copies()
        done = (RunEnd(KEY, 1, EndKind.DONE),)
        state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=done, now_ms=3))
        self.scheduler.begin()
        self.assertEqual(self.stopped, [("v2", KEY, 2)])

    async def test_a_copy_goes_on_when_another_run_has_failed(self):
        state = self.start_copies()
        self.scheduler.begin()
        failed = (RunEnd(KEY, 1, EndKind.FAILED),)
        command = RecordEnds(vm_id="v1", born_ms=1, ends=failed, now_ms=3)
        self.scheduler.applied(command, state.apply(command))
        self.assertEqual(self.stopped, [])


if __name__ == "__main__":
    unittest.main()
