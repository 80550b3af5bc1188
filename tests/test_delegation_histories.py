"""Tests of controllers that fail while they call VMs for each other.

Each history is drawn from a seed and runs in virtual time.
"""

import asyncio
import os
import unittest

from redwingslip.jobs import JobsState, Plan, Pool, ReplacePlan
from tests.delegation_world import DelegationWorld
from tests.scheduling_world import NoPlatform
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock, run_virtually
from tests.test_scheduling_leaders import FAULTS_S, N_JOBS, RECOVERY_S
from tests.test_scheduling_lifecycle import LifecycleCase

N_SEEDS = 11
# Seeds that have found a fault stay here, each with a line on its cause.
REGRESSIONS = (
    # The leases of a delegate on a slow link ended before they arrived.
    18,
    # A delegate received no orders, and the leader waited for its replies.
    43,
    # Delegates lost each lease soon after they had got it, and were routed to for ever.
    214,
)
VM_FAULTS = ("crash", "leave", "partition", "refuse")


class DelegationCase(LifecycleCase):
    """A history of controllers that fail; see `LifecycleCase`."""

    def __init__(self, seed):
        super().__init__(seed, faults=VM_FAULTS)
        self.disturbances = (
            self.kill,
            self.freeze,
            self.isolate,
            self.cut_from_leader,
            self.cut_one_way,
            self.cut_from_vms,
            self.slow_down,
            self.resign,
        )

    async def run(self, loop):
        """Run a phase with disturbances, then one without; return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        world = DelegationWorld(
            loop, self.rng, LoopClock(loop), state, n_processes=self.rng.randint(3, 5)
        )
        self.world = world
        world.operations = NoPlatform()
        world.late_report_rate = self.rng.choice((0.0, 0.2))
        world.loss_rate = self.rng.choice((0.0, 0.0, 0.05, 0.2))
        world.slow_answer_rate = self.rng.choice((0.0, 0.0, 0.3))
        world.failure_rate = self.rng.choice((0.0, 0.05))
        world.begin()
        tasks = [
            asyncio.create_task(work) for work in (self.disturb(), self.fail_vms())
        ]
        jobs = asyncio.create_task(self.submit())
        await asyncio.sleep(FAULTS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.end_faults()
        await jobs
        await asyncio.sleep(RECOVERY_S)
        world.stop_leader()
        return world

    def end_faults(self):
        """End all disturbances and losses."""
        world = self.world
        world.loss_rate = world.slow_answer_rate = 0.0
        world.failure_rate = world.late_report_rate = 0.0
        world.links.cut.clear()
        world.links.delays_s.clear()
        for process in world.processes.values():
            process.unreachable.clear()
            process.thaw()
            if not process.is_up:
                process.start()
        world.disturbed_at = world.now()

    async def disturb(self):
        """Disturb controllers by some of the kinds of disturbance."""
        kinds = self.rng.sample(self.disturbances, self.rng.randint(2, 5))
        longest_s = self.rng.choice((1.0, 3.0, 6.0))
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, longest_s))
            process = self.rng.choice(list(self.world.processes.values()))
            if self.rng.random() < 0.3:
                process = self.world.leader()
            self.inject(self.disturb_once(self.rng.choice(kinds), process))

    async def disturb_once(self, kind, process):
        """Disturb a controller, and note when the disturbance begins and ends."""
        self.world.disturbed_at = self.world.now()
        await kind(process)
        self.world.disturbed_at = self.world.now()

    async def kill(self, process):
        """Kill a controller, and start it again."""
        if process.is_up:
            process.kill()
            await asyncio.sleep(self.rng.uniform(0.05, 3))
            if not process.is_up:
                process.start()

    async def freeze(self, process):
        """Freeze a controller."""
        if process.is_up and process.is_awake():
            process.freeze()
            await asyncio.sleep(self.rng.uniform(0.1, 3))
            process.thaw()

    async def isolate(self, process):
        """Cut a controller off from all others."""
        others = self.world.processes
        links = [(process.name, name) for name in others]
        links += [(name, process.name) for name in others]
        await self.cut(links, self.rng.uniform(0.1, 3))

    async def cut_from_leader(self, process):
        """Cut a controller off from the leader only."""
        leader = self.world.leader()
        links = [(process.name, leader.name), (leader.name, process.name)]
        await self.cut(links, self.rng.uniform(0.1, 6))

    async def cut_one_way(self, process):
        """Cut the link from or to the leader."""
        link = [process.name, self.world.leader().name]
        self.rng.shuffle(link)
        await self.cut([tuple(link)], self.rng.uniform(0.1, 6))

    async def cut(self, links, duration_s):
        """Cut links that are whole for a time."""
        links = set(links) - self.world.links.cut
        self.world.links.cut.update(links)
        await asyncio.sleep(duration_s)
        self.world.links.cut.difference_update(links)

    async def cut_from_vms(self, process):
        """Cut a controller off from some of the VMs."""
        kind = self.rng.choice(("refused", "silent", "one way"))
        vm_ids = sorted(self.world.endpoints)
        chosen = self.rng.sample(vm_ids, self.rng.randint(1, len(vm_ids)))
        process.unreachable.update(dict.fromkeys(chosen, kind))
        await asyncio.sleep(self.rng.uniform(0.1, 6))
        for vm_id in chosen:
            process.unreachable.pop(vm_id, None)

    async def slow_down(self, process):
        """Slow the links of a controller down."""
        delay_s = self.rng.uniform(0.02, 0.5)
        links = [
            link
            for other in self.world.processes
            for link in ((process.name, other), (other, process.name))
            if self.rng.random() < 0.8
        ]
        self.world.links.delays_s.update(dict.fromkeys(links, delay_s))
        await asyncio.sleep(self.rng.uniform(0.3, 6))
        for link in links:
            self.world.links.delays_s.pop(link, None)

    async def resign(self, process):
        """Have the leader hand over."""
        await self.world.resign_leader()


class TestDelegationHistories(unittest.TestCase):
    """No history breaks a guarantee, and all jobs end after the disturbances."""

    def check(self, seed):
        world = run_virtually(DelegationCase(seed).run)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.unfinished(), [])
        self.assertEqual(len(world.state.jobs), N_JOBS)

    def seeds(self):
        """Return the seeds of the suite, or those chosen by the environment."""
        if "REDWINGSLIP_FUZZ_SEED" in os.environ:
            first = 1_000 * int(os.environ["REDWINGSLIP_FUZZ_SEED"])
            return range(first, first + 1_000)
        return range(1, N_SEEDS + 1)

    def test_seeded_histories(self):
        """Guards against TWICE, ORDER and ONE by calls of delegates."""
        for seed in (*REGRESSIONS, *self.seeds()):
            with self.subTest(seed=seed):
                self.check(seed)


if __name__ == "__main__":
    unittest.main()
