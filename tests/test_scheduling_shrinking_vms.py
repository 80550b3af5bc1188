"""Tests of VMs whose capacity shrinks and grows while they run.

The pattern is a pool in use whose VMs do not refuse runs beyond their capacity. The
histories run in virtual time; the endpoints check each start.
"""

import asyncio
import os
import random
import unittest

from redwingslip.jobs import (
    Amounts,
    JobSpec,
    JobsState,
    JobStatus,
    Plan,
    Pool,
    ReplacePlan,
    StepSpec,
)
from tests.scheduling_endpoints import CAPACITY
from tests.scheduling_world import World
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock, run_virtually

REPORT_S = 0.2
SHRINK_S = 25
HISTORY_S = 50
N_SEEDS = 3
# Seeds that have found a fault stay here, each with a line on its cause.
REGRESSIONS = (
    # A start whose answer was lost was repeated after the VM had shrunk.
    1013,
)


class ShrinkingVms:
    """A history with VMs that shrink and grow, lost answers and changes of leader.

    Parameters
    ----------
    seed : int
        Seed of the history.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)

    async def run(self, loop):
        """Run the history and return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        world = self.world = World(loop, self.rng, LoopClock(loop), state)
        for endpoint in world.endpoints.values():
            endpoint.guards_capacity = False
        world.loss_rate = self.rng.choice((0.0, 0.1, 0.3))
        world.start_leader()
        works = [self.report(), self.resize(), self.submit()]
        if self.rng.random() < 0.5:
            works.append(self.change_leaders())
        tasks = [asyncio.create_task(work) for work in works]
        await asyncio.sleep(SHRINK_S)
        world.loss_rate = 0.0
        await asyncio.sleep(HISTORY_S - SHRINK_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        world.stop_leader()
        return world

    async def report(self):
        """Send the reports of the endpoints."""
        while True:
            for endpoint in self.world.endpoints.values():
                await self.world.report(endpoint)
            await asyncio.sleep(REPORT_S)

    async def resize(self):
        """Shrink VMs for some seconds."""
        while self.world.now() < SHRINK_S:
            endpoint = self.rng.choice(list(self.world.endpoints.values()))
            endpoint.resize(self.rng.choice((0, CAPACITY.cpu // 4, CAPACITY.cpu // 2)))
            await asyncio.sleep(self.rng.uniform(0.2, 4))
            if self.rng.random() < 0.7:
                endpoint.resize(CAPACITY.cpu)
        for endpoint in self.world.endpoints.values():
            endpoint.resize(CAPACITY.cpu)

    async def submit(self):
        """Submit more jobs than the VMs have capacity for at times."""
        number = 0
        while self.world.now() < SHRINK_S:
            number += 1
            step = StepSpec(
                n_tasks=self.rng.randint(1, 6),
                need=Amounts(self.rng.choice((400, 800)), 10),
                estimate_ms=self.rng.choice((300, 2_000)),
            )
            spec = JobSpec(job_id=f"j{number}", queue="q", pool="p", steps=(step,))
            await self.world.submit(spec)
            await asyncio.sleep(self.rng.uniform(0, 0.4))

    async def change_leaders(self):
        """Replace the leader every few seconds."""
        while True:
            await asyncio.sleep(self.rng.uniform(1, 5))
            self.world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            self.world.start_leader()


class TestShrinkingVms(unittest.TestCase):
    """No run beyond the capacity that a VM has reported, and no job that stays."""

    def test_seeded_histories(self):
        """Guards against starts that bring a VM over a capacity that has shrunk."""
        seeds = (*REGRESSIONS, *range(1, 1 + N_SEEDS))
        if "REDWINGSLIP_FUZZ_SEED" in os.environ:
            first = 1_000 * int(os.environ["REDWINGSLIP_FUZZ_SEED"])
            seeds = range(first, first + 50)
        for seed in seeds:
            with self.subTest(seed=seed):
                world = run_virtually(ShrinkingVms(seed).run)
                self.assertEqual(world.problems, [])
                statuses = {job.status for job in world.state.jobs.values()}
                self.assertEqual(statuses, {JobStatus.COMPLETED})


if __name__ == "__main__":
    unittest.main()
