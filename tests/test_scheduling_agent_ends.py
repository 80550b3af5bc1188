"""Tests of the ends that a VM lists in several answers."""

import asyncio
import unittest
from datetime import timedelta

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import EndKind, RunStart, StartRuns, TaskKey
from redwingslip.scheduling import ListedEnd
from tests.scheduling_endpoints import MAX_LISTED_ENDS
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

N_TASKS = MAX_LISTED_ENDS + 1


class _ListingEndpoint(FakeEndpoint):
    """An endpoint that lists a limited number of ends in each answer."""

    async def hold(self, vm, **options):
        """Answer a poll with the first of the ends above the cursor."""
        report = await super().hold(vm, **options)
        return msgspec.structs.replace(
            report,
            ends=report.ends[:MAX_LISTED_ENDS],
            has_more_ends=len(report.ends) >= MAX_LISTED_ENDS,
        )


class TestManyEnds(VirtualTimeTestCase):
    """More ends at a time than one answer contains."""

    async def test_a_run_whose_end_is_not_yet_listed_is_not_lost(self):
        """Guards against tasks that start again although they were done."""
        job = make_job(n_tasks=N_TASKS)
        vm, endpoint, clock = make_vm(), _ListingEndpoint(), ManualClock()
        state = make_state(vm, jobs=[job])
        keys = [TaskKey("j1", 0, 0, index) for index in range(N_TASKS)]
        starts = tuple(RunStart(key, "v1", 1) for key in keys)
        state.apply(StartRuns(starts=starts, now_ms=1))
        endpoint.runs = {(key, 1): 50 for key in keys}
        agent = make_agent(vm, endpoint, FakeTerm(state, clock))
        self.addCleanup(agent.close)
        agent.begin()
        await eventually(lambda: agent.listed_runs)
        clock.advance(timedelta(milliseconds=1))
        n_polls = len(endpoint.cursors)
        await eventually(lambda: len(endpoint.cursors) > n_polls + 1)
        endpoint.runs = {}
        endpoint.ends = [
            ListedEnd(number, key, 1, EndKind.DONE)
            for number, key in enumerate(keys, start=1)
        ]
        await eventually(lambda: not state.runs_of("v1"))
        await asyncio.sleep(0)
        self.assertTrue(state.task(keys[-1]).is_done)


class TestStoppedRuns(VirtualTimeTestCase):
    """Runs that are stopped before they have started."""

    async def asyncSetUp(self):
        vm = make_vm()
        self.state = make_state(vm, jobs=[make_job()])
        self.clock = ManualClock()
        self.agent = make_agent(vm, FakeEndpoint(), FakeTerm(self.state, self.clock))

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    # LOST: a run that had not started was stopped again after each poll, for good.
    async def test_a_stop_during_a_poll_holds_until_the_end_is_recorded(self):
        """Guards against a stopped run that is neither lost nor stopping."""
        await self.agent._poll()
        start = RunStart(TaskKey("j1", 0, 0, 0), "v1", 1)
        (run,) = self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.clock.advance(timedelta(milliseconds=1))
        poll = asyncio.create_task(self.agent._poll())
        await asyncio.sleep(0)
        self.clock.advance(timedelta(milliseconds=1))
        self.agent.stop(run.key, run.number)
        sender = self.agent._sender
        await sender._send(sender._queue.popleft())
        await poll
        self.assertTrue(self.state.runs_of("v1"))
        self.assertTrue(self.agent.is_stopping(run.key, run.number))
        self.clock.advance(timedelta(milliseconds=1))
        await self.agent._poll()
        await eventually(lambda: not self.state.runs_of("v1"))
        await self.agent._poll()
        self.assertFalse(self.agent.is_stopping(run.key, run.number))


if __name__ == "__main__":
    unittest.main()
