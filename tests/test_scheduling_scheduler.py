"""Tests of how the leader's scheduling reacts to commands."""

import asyncio
import unittest
from unittest import mock

from redwingslip.jobs import RunStart, StartRuns, TaskKey
from redwingslip.observe import EventName
from redwingslip.scheduling import LeaderPolicy, Scheduler, VmAgent
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    eventually,
    make_job,
    make_state,
    make_vm,
)

KEY = TaskKey("j1", 0, 0, 0)


class TestScheduler(unittest.IsolatedAsyncioTestCase):
    """Commands whose handling fails."""

    async def asyncSetUp(self):
        self.term = FakeTerm(make_state(make_vm(), jobs=[make_job()]))
        self.warnings = []
        self.term.emit = self.emit
        self.endpoint = FakeEndpoint()
        self.scheduler = Scheduler(
            term=self.term,
            orders=self.endpoint,
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )

    async def asyncTearDown(self):
        self.scheduler.close()
        await asyncio.sleep(0)

    def emit(self, name, *, detail="", **fields):
        """Record the warnings."""
        if name is EventName.WARNING:
            self.warnings.append(detail)

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


if __name__ == "__main__":
    unittest.main()
