"""Tests of how often a task is restarted for lack of progress."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    EndKind,
    ForgetJobs,
    RecordEnds,
    RunEnd,
    RunStart,
    StartRuns,
    TaskKey,
)
from redwingslip.scheduling import LeaderPolicy, Scheduler
from redwingslip.workers import ProgressSettings
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

KEY = TaskKey("j1", 0, 0, 0)
MAX_RUNS = ProgressSettings().max_runs
START = StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=1)


class TestStalledRuns(VirtualTimeTestCase):
    """Runs without progress, one after the other, on a VM that answers each poll."""

    async def asyncSetUp(self):
        self.state = make_state(make_vm("v1"), jobs=[make_job()])
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.endpoint = FakeEndpoint()
        self.agent = make_agent(self.state.vms["v1"], self.endpoint, self.term)
        self.agent._sender.begin()

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    def end(self, number, kind):
        """Record the end of a run."""
        ends = (RunEnd(KEY, number, kind),)
        self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=ends, now_ms=1))

    async def n_stops_after(self, n_ends, kind):
        """Return how often a run that stands still is stopped after other ends."""
        for number in range(1, n_ends + 1):
            self.state.apply(START)
            self.end(number, kind)
        return await self.n_stops_of(n_ends + 1)

    async def n_stops_of(self, number):
        """Start a run that stands still for 10 s; return how often it is stopped."""
        self.state.apply(START)
        self.endpoint.runs[(KEY, number)] = 30
        for _ in range(20):
            await self.agent._poll()
            self.clock.advance(timedelta(milliseconds=500))
        await asyncio.sleep(0.02)
        return self.endpoint.stopped.count((KEY, number))

    async def test_a_first_run_is_stopped(self):
        """Guards against a run that stands still for good."""
        self.assertEqual(await self.n_stops_after(0, EndKind.LOST), 1)

    async def test_runs_that_never_started_do_not_count_as_restarts(self):
        """Guards against a run that stands still for good after refused starts."""
        self.assertEqual(await self.n_stops_after(MAX_RUNS, EndKind.REJECTED), 1)

    async def test_runs_lost_by_silence_do_not_count_as_restarts(self):
        """Guards against a run that stands still for good after silent VMs."""
        self.assertEqual(await self.n_stops_after(MAX_RUNS, EndKind.LOST), 1)

    async def test_a_task_that_always_stands_still_is_not_restarted_forever(self):
        """Guards against a task that takes VM after VM and never ends."""
        n_stops = []
        for number in range(1, MAX_RUNS + 3):
            n_stops.append(await self.n_stops_of(number))
            self.endpoint.runs.clear()
            if self.state.task(KEY).runs:
                self.end(number, EndKind.LOST)
        self.assertEqual(n_stops, [1] * MAX_RUNS + [0, 0])


class TestCount(unittest.TestCase):
    """The count of restarts in a term."""

    def setUp(self):
        self.state = make_state(make_vm(), jobs=[make_job()])
        self.scheduler = Scheduler(
            term=FakeTerm(self.state),
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )

    def test_each_restart_counts_for_its_task(self):
        """Guards against a task that has used up the restarts of another."""
        for vm_id in ("v1", "v2", "v1"):
            self.scheduler.note_restart(KEY, vm_id)
        self.assertEqual(self.scheduler.n_restarts(KEY), 3)
        self.assertEqual(self.scheduler.n_restarts(KEY._replace(index=1)), 0)

    def test_the_counts_of_a_forgotten_job_are_dropped(self):
        """Guards against counts that pile up as long as a leader leads."""
        other = KEY._replace(job_id="j2")
        for key in (KEY, other):
            self.scheduler.note_restart(key, "v1")
        command = ForgetJobs(job_ids=("j1",))
        self.scheduler.applied(command, self.state.apply(command))
        self.assertEqual(self.scheduler.n_restarts(KEY), 0)
        self.assertEqual(self.scheduler.n_restarts(other), 1)
        self.assertEqual(list(self.scheduler._n_restarts), [other])


if __name__ == "__main__":
    unittest.main()
