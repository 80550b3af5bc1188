"""Tests of start orders without an answer, when their data centre is evacuated."""

import asyncio
import unittest

from redwingslip.jobs import RunStart, StartEvacuation, StartRuns, TaskKey
from redwingslip.scheduling import OrderOutcomeUnknownError
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)

KEY = TaskKey("j1", 0, 0, 0)


class TestLostStartAnswers(unittest.IsolatedAsyncioTestCase):
    """A VM starts a run, and its answer does not arrive."""

    async def test_a_listed_run_goes_on(self):
        """Guards against the stop of a task at work, beside others that are away."""
        vm = make_vm(data_centre="east")
        job = make_job(is_long_running=True, disruption_budget=1)
        state = make_state(vm, jobs=[job])
        endpoint = FakeEndpoint()
        agent = make_agent(vm, endpoint, FakeTerm(state))
        self.addCleanup(agent.close)
        endpoint.start_responses = [OrderOutcomeUnknownError("lost")] * 1_000
        agent.begin()
        starts = (RunStart(KEY, "v1", 1),)
        agent.start(*state.apply(StartRuns(starts=starts, now_ms=2)))
        await eventually(lambda: endpoint.started)
        endpoint.runs[(KEY, 1)] = 100
        await eventually(lambda: (KEY, 1) in agent.listed_runs)
        state.apply(StartEvacuation(data_centre="east", now_ms=3))
        agent.withdraw_starts()
        await eventually(lambda: not agent.n_unsettled_starts)
        await asyncio.sleep(0.02)
        self.assertEqual(endpoint.stopped, [])
        self.assertEqual(len(state.runs_of("v1")), 1)


if __name__ == "__main__":
    unittest.main()
