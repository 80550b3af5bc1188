"""Tests that a new leader counts the machines that the earlier one has moved."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.jobs import Amounts, RecordMove
from redwingslip.placement import ArrivalTrend
from redwingslip.scheduling import (
    LeaderPolicy,
    MachineState,
    MachineView,
    MoveManager,
)
from tests.support_scheduling import FakePlatform, eventually, make_vm
from tests.test_scheduling_moves import CFG, FleetTestCase


class TestInheritedMoves(FleetTestCase):
    """A leader lost between the order of a move and the first report of its VM."""

    async def test_a_machine_that_has_yet_to_report_counts_as_arriving(self):
        """Guards against capacity that is unknown for seconds after a new leader.

        Up to 30 % of the machines may be moving at a time.
        """
        self.make_fleet(make_vm("v1"))
        self.state.apply(RecordMove(machine="m2", now_ms=1))
        platform = FakePlatform()
        platform.machines = (
            MachineView(
                machine="m2",
                pool="p",
                state=MachineState.UP,
                capacity=Amounts(4000, 4000),
            ),
        )
        manager = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=platform,
            backlog={},
            cfg=LeaderPolicy(moves=CFG),
            trend=ArrivalTrend(LeaderPolicy().arrivals),
        )
        task = asyncio.create_task(manager.run())
        self.addCleanup(task.cancel)
        await eventually(lambda: manager._machine_views)
        now = self.clock.monotonic()
        arriving = manager.arriving_cpu(now).get("p", [])
        self.assertEqual([cpu for cpu, _ in arriving], [4000])
        self.advance(timedelta(seconds=10))
        manager._plan_moves()
        self.assertEqual(manager.arriving_cpu(self.clock.monotonic()), {})


if __name__ == "__main__":
    unittest.main()
