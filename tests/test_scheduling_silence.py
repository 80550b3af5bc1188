"""Tests of the reports of VMs that fall silent and answer again."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import JobStatus, RunStart, StartRuns, TaskKey
from redwingslip.observe import EventName
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

KEY = TaskKey("j1", 0, 0, 0)
LONGER_THAN_LEASE = timedelta(seconds=8)
N_CUTS = 6


class RecordingTerm(FakeTerm):
    """A term that keeps the events."""

    def __init__(self, *args):
        super().__init__(*args)
        self.emitted = []

    def emit(self, name, **fields):
        """Keep an event."""
        self.emitted.append((name, fields.get("detail", "")))

    def details(self, name):
        """Return the details of the events with a name."""
        return [detail for emitted, detail in self.emitted if emitted is name]


class TestSilence(VirtualTimeTestCase):
    """What is logged of a VM that is out of reach for longer than its lease."""

    async def asyncSetUp(self):
        vm = make_vm()
        self.state = make_state(vm, jobs=[make_job()])
        self.endpoint = FakeEndpoint()
        self.clock = ManualClock()
        self.term = RecordingTerm(self.state, self.clock)
        self.agent = make_agent(vm, self.endpoint, self.term)
        self.state.apply(StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2))
        self.endpoint.runs[(KEY, 1)] = 50
        self.agent.begin()
        await eventually(lambda: self.endpoint.cursors)
        self.endpoint.is_unresponsive = True
        await asyncio.sleep(0.02)
        self.clock.advance(LONGER_THAN_LEASE)
        await eventually(lambda: not self.state.runs_of("v1"))

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    async def test_silence_is_logged_once_with_its_length(self):
        """Guards against runs that are lost while the log does not tell why."""
        await asyncio.sleep(0.3)
        (detail,) = self.term.details(EventName.VM_SILENT)
        self.assertIn("has not answered for 8.00 s", detail)
        self.assertIn("1 runs lost; the term began 8.00 s ago", detail)
        self.assertEqual(self.term.details(EventName.VM_ANSWERED), [])

    async def test_answer_of_the_same_incarnation_is_logged_once(self):
        """Guards against a VM that is taken to have crashed but was out of reach."""
        self.endpoint.is_unresponsive = False
        await eventually(lambda: self.term.details(EventName.VM_ANSWERED))
        n_polls = len(self.endpoint.cursors)
        await eventually(lambda: len(self.endpoint.cursors) > n_polls + 1)
        (detail,) = self.term.details(EventName.VM_ANSWERED)
        self.assertEqual(detail, "incarnation 1 answers again after 8.00 s")


class TestCuts(VirtualTimeTestCase):
    """What becomes of a job whose VM is out of reach, and does not crash."""

    async def asyncSetUp(self):
        self.vm = make_vm()
        self.state = make_state(self.vm, jobs=[make_job(is_long_running=True)])
        self.endpoint = FakeEndpoint()
        self.clock = ManualClock()
        self.begin_term()

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    def begin_term(self):
        """Let another leader begin with the replicated state."""
        self.term = FakeTerm(self.state, self.clock)
        self.agent = make_agent(self.vm, self.endpoint, self.term)
        self.agent.begin()

    async def start(self):
        """Start the task, and let its VM answer a poll."""
        now_ms = self.term.now_ms()
        self.state.apply(StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=now_ms))
        number = self.state.task(KEY).n_runs
        self.endpoint.runs = {(KEY, number): 50}
        await self.poll()

    async def poll(self):
        """Wait until a poll that was sent from now on was answered."""
        n_polls = len(self.endpoint.cursors)
        await eventually(lambda: len(self.endpoint.cursors) > n_polls + 1)

    async def cut_off(self):
        """Let the lease expire while the VM does not answer; its runs expire there."""
        self.endpoint.is_unresponsive = True
        await asyncio.sleep(0.02)
        self.clock.advance(LONGER_THAN_LEASE)
        await eventually(lambda: not self.state.runs_of("v1"))
        self.endpoint.runs = {}

    async def reconnect(self):
        """Let the same incarnation answer again."""
        self.endpoint.is_unresponsive = False
        await self.poll()

    async def test_job_is_not_given_up_for_a_vm_that_is_cut_off_again_and_again(self):
        """Guards against a sound job that fails since its VM was out of reach."""
        for cut in range(N_CUTS):
            with self.subTest(cut=cut):
                await self.start()
                await self.cut_off()
                await self.reconnect()
                self.assertEqual(self.state.jobs["j1"].status, JobStatus.RUNNING)

    async def test_suspicion_is_withdrawn_when_the_same_incarnation_answers(self):
        """Guards against a suspicion that outlives its refutation."""
        await self.start()
        await self.cut_off()
        self.assertNotEqual(self.suspected_machines(), set())
        await self.reconnect()
        self.assertEqual(self.suspected_machines(), set())

    async def test_suspicion_is_withdrawn_by_another_leader(self):
        """Guards against a suspicion that only the leader that had it takes back."""
        await self.start()
        await self.cut_off()
        self.agent.close()
        self.begin_term()
        await self.reconnect()
        self.assertEqual(self.suspected_machines(), set())

    def suspected_machines(self):
        """Return the machines of the VMs that may have crashed under the task."""
        return set(self.state.task(KEY).suspected_machines)


if __name__ == "__main__":
    unittest.main()
