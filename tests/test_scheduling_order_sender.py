"""Tests of the orders to one VM: errors that nobody expects."""

import asyncio

from redwingslip.jobs import RunStart, StartRuns, TaskKey
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


class TestUnexpectedErrors(VirtualTimeTestCase):
    """An order outlives an error of its sending."""

    async def asyncSetUp(self):
        vm = make_vm()
        self.state = make_state(vm, jobs=[make_job()])
        self.endpoint = FakeEndpoint()
        self.agent = make_agent(vm, self.endpoint, FakeTerm(self.state))

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    async def test_an_order_is_sent_again_after_any_error(self):
        """Guards against a run that is neither started nor given up."""
        command = StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2)
        (run,) = self.state.apply(command)
        self.endpoint.start_responses.append(OverflowError("odd"))
        self.agent.begin()
        self.agent.start(run)
        await eventually(lambda: self.endpoint.runs)
        self.assertEqual(self.endpoint.started, [(KEY, 1), (KEY, 1)])
        self.assertTrue(self.state.runs_of("v1"))
