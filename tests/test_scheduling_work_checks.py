"""Tests of the questions to VMs whether tasks are at work."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.jobs import RunStart, StartRuns, StartWave, TaskKey
from redwingslip.scheduling import (
    LeaderPolicy,
    ListedRun,
    MachineRegistry,
    WaveManager,
    WaveSettings,
)
from tests.support_scheduling import (
    FakeEndpoints,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import LoopClock, run_virtually

INTERVAL = timedelta(milliseconds=100)


class TestRoundsOfWaves(unittest.TestCase):
    """A wave in virtual time, with VMs that answer faster than rounds follow."""

    async def maintain(self, loop, *, is_unresponsive):
        """Run a wave for some rounds; return the time of the order, None for none."""
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        vms = [make_vm("v1"), make_vm("v2")]
        state = make_state(*vms, jobs=[job])
        term = FakeTerm(state, LoopClock(loop))
        endpoints = FakeEndpoints()
        agents = {}
        for index, vm in enumerate(vms):
            agents[vm.vm_id] = agent = make_agent(vm, endpoints, term)
            agent._has_renewed_lease = True
            agent.lease.note_contact(term.clock.monotonic())
            key = TaskKey("j1", 0, 0, index)
            state.apply(StartRuns(starts=(RunStart(key, vm.vm_id, 1),), now_ms=1))
            agent.listed_runs[(key, 1)] = ListedRun(key, 1, "", 100)
            endpoints.of_vm(vm.vm_id).runs[(key, 1)] = 100
        endpoints.of_vm("v2").is_unresponsive = is_unresponsive
        wave = StartWave(
            number=1, machines=("m-v1",), duration_ms=4000, max_at_once=1, now_ms=0
        )
        state.apply(wave)
        platform = FakePlatform()
        manager = WaveManager(
            term=term,
            machines=MachineRegistry(term, agents, takeover_delay=timedelta(0)),
            operations=platform,
            backlog={},
            cfg=LeaderPolicy(waves=WaveSettings(interval=INTERVAL)),
        )
        task = asyncio.create_task(manager.run())
        while loop.time() < 10 * INTERVAL.total_seconds():
            if platform.maintained:
                return loop.time()
            await asyncio.sleep(0.001)
        task.cancel()
        return None

    def test_an_order_waits_for_answers_and_not_for_the_next_round(self):
        """Guards against waves that lose a round before each order."""

        async def maintain(loop):
            return await self.maintain(loop, is_unresponsive=False)

        ordered_at = run_virtually(maintain)
        self.assertIsNotNone(ordered_at)
        self.assertLess(ordered_at, 1.5 * INTERVAL.total_seconds())

    def test_no_order_is_given_beside_a_vm_that_does_not_answer(self):
        """Guards against a task that is ended just after another of its step."""

        async def maintain(loop):
            return await self.maintain(loop, is_unresponsive=True)

        self.assertIsNone(run_virtually(maintain))


if __name__ == "__main__":
    unittest.main()
