"""Tests of a leader that takes over a wave with an order that was not answered."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import RecordMaintenance, StartWave
from redwingslip.scheduling import LeaderPolicy, MachineRegistry, WaveManager
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)

TAKEOVER_DELAY = timedelta(seconds=3)


class TestWaveTakeover(unittest.IsolatedAsyncioTestCase):
    """One of two machines may have been ordered by the earlier leader."""

    async def test_no_runs_are_placed_where_an_order_may_end_them(self):
        """Guards against a wave that waits for good for tasks placed there since.

        The order can't be repeated yet, and the wave may have one machine down.
        """
        vms = [make_vm("v1"), make_vm("v2")]
        state = make_state(*vms)
        machines = tuple(vm.machine for vm in vms)
        state.apply(
            StartWave(
                number=1,
                machines=machines,
                duration_ms=20_000,
                max_at_once=1,
                now_ms=1,
            )
        )
        state.apply(RecordMaintenance(number=1, now_ms=2, ordered=("m-v2",)))
        platform = FakePlatform()
        term = FakeTerm(state, ManualClock())
        agents = {vm.vm_id: make_agent(vm, FakeEndpoint(), term) for vm in vms}
        registry = MachineRegistry(term, agents, takeover_delay=TAKEOVER_DELAY)
        manager = WaveManager(
            term=term,
            machines=registry,
            operations=platform,
            backlog={},
            cfg=LeaderPolicy(),
        )
        task = asyncio.create_task(manager.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        self.assertTrue(registry.is_claimed("m-v2"))
        self.assertFalse(registry.recall("m-v2"))
        # As after the maintenance for another wave.
        manager._uncordon("m-v2")
        self.assertTrue(registry.is_claimed("m-v2"))
        self.assertEqual(platform.maintained, [])


if __name__ == "__main__":
    unittest.main()
