"""Tests of the questions to VMs whether tasks are at work."""

import asyncio
import random
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
N_ROUNDS = 12


class SlowEndpoints(FakeEndpoints):
    """Endpoints whose answers take a random time, in seconds."""

    def __init__(self, shortest_s, longest_s):
        super().__init__()
        self._rng = random.Random(1)
        self._times_s = (shortest_s, longest_s)

    async def hold(self, vm, **options):
        """Answer a poll late."""
        report = await super().hold(vm, **options)
        await asyncio.sleep(self._rng.uniform(*self._times_s))
        return report


class TestRoundsOfWaves(unittest.TestCase):
    """A wave in virtual time over tasks of a step, each on a VM of its own."""

    async def maintain(self, loop, endpoints, *, n_tasks=2, is_unresponsive=False):
        """Run a wave for some rounds; return the time of the order, None for none."""
        job = make_job(n_tasks=n_tasks, is_long_running=True, disruption_budget=1)
        vms = [make_vm(f"v{1 + index}") for index in range(n_tasks)]
        state = make_state(*vms, jobs=[job])
        term = FakeTerm(state, LoopClock(loop))
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
        while loop.time() < N_ROUNDS * INTERVAL.total_seconds():
            if platform.maintained:
                return loop.time()
            await asyncio.sleep(0.001)
        task.cancel()
        return None

    def run_wave(self, endpoints, **options):
        """Run a wave in virtual time."""

        async def main(loop):
            return await self.maintain(loop, endpoints, **options)

        return run_virtually(main)

    def test_an_order_waits_for_answers_and_not_for_the_next_round(self):
        """Guards against waves that lose a round before each order."""
        ordered_at = self.run_wave(FakeEndpoints())
        self.assertIsNotNone(ordered_at)
        self.assertLess(ordered_at, 1.5 * INTERVAL.total_seconds())

    def test_slow_answers_of_many_vms_hold_up_no_wave(self):
        """Guards against answers that are never recent at the same time."""
        for times_s in ((0.1, 0.4), (0.05, 0.7), (0.3, 0.75)):
            with self.subTest(times_s=times_s):
                ordered_at = self.run_wave(SlowEndpoints(*times_s), n_tasks=40)
                self.assertIsNotNone(ordered_at)

    def test_no_order_is_given_beside_a_vm_that_does_not_answer(self):
        """Guards against a task that is ended just after another of its step."""
        self.assertIsNone(self.run_wave(FakeEndpoints(), is_unresponsive=True))


if __name__ == "__main__":
    unittest.main()
