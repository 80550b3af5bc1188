"""Tests of changes of leader, late orders and restarts of endpoints.

Each history is drawn from a seed and runs in virtual time. The checks on the endpoints
fail when a task runs twice at a time, starts after it is done, or starts before its
preceding steps are done.
"""

import asyncio
import os
import random
import unittest

from redwingslip.jobs import (
    Amounts,
    JobSpec,
    JobsState,
    Plan,
    Pool,
    ReplacePlan,
    StepSpec,
)
from tests.scheduling_world import COMMIT_S, World
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock, run_virtually

FAULTS_S = 30
RECOVERY_S = 40
N_JOBS = 25
N_SEEDS = 12
# Seeds that have found a fault stay here, each with a line on its cause.
REGRESSIONS = (
    # The start order of a copy waited until another run of the task was done.
    1032,
    1061,
    1085,
    1108,
)
SLOW_COMMIT_REGRESSIONS = (
    # As above.
    1025,
    # A withdrawn run was started by a poll while its end was being committed.
    1102,
    1176,
)
QUICK_RESTART_REGRESSIONS = (
    # The next incarnation of a VM carried out a start order for the previous one.
    254,
    319,
    322,
    497,
)
# Fail if calls reach the next incarnation of a VM.
SUCCESSOR_SEEDS = (242, 311, 322, 339, 348, 458)


class Case:
    """One history of faults and jobs, drawn from a seed.

    Parameters
    ----------
    seed : int
        Seed of the history.
    max_commit_s, max_partition_s : float
        Longest duration of a commit, and of the partition of an endpoint.
    down_s : tuple of float
        Shortest and longest time until a VM that has crashed is back.
    same_name_share : float
        Share of these that come back under the same name.
    checks_incarnations : bool
        See `World`.
    """

    def __init__(
        self,
        seed,
        *,
        max_commit_s=COMMIT_S,
        max_partition_s=10,
        down_s=(1.5, 6),
        same_name_share=0.5,
        checks_incarnations=True,
    ):
        self.rng = random.Random(seed)
        self.max_commit_s = max_commit_s
        self.max_partition_s = max_partition_s
        self.down_s = down_s
        self.same_name_share = same_name_share
        self.checks_incarnations = checks_incarnations
        self.world = None
        self.faults = set()

    async def run(self, loop):
        """Run a phase with faults, then one without; return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        self.world = World(loop, self.rng, LoopClock(loop), state)
        self.world.loss_rate = self.rng.choice((0.0, 0.05, 0.2))
        self.world.failure_rate = self.rng.choice((0.0, 0.05))
        self.world.max_commit_s = self.max_commit_s
        self.world.checks_incarnations = self.checks_incarnations
        self.world.start_leader()
        tasks = [
            asyncio.create_task(work)
            for work in (self.report(), self.change_leaders(), self.fail_vms())
        ]
        jobs = asyncio.create_task(self.submit())
        await asyncio.sleep(FAULTS_S)
        for task in tasks[1:]:
            task.cancel()
        await asyncio.gather(*tasks[1:], return_exceptions=True)
        self.end_faults()
        await jobs
        await asyncio.sleep(RECOVERY_S)
        tasks[0].cancel()
        self.world.stop_leader()
        return self.world

    async def report(self):
        """Send the reports of the endpoints."""
        while True:
            for endpoint in tuple(self.world.endpoints.values()):
                if endpoint.is_up and not endpoint.is_partitioned:
                    await self.world.report(endpoint)
            await asyncio.sleep(0.4)

    async def change_leaders(self):
        """Stop the leader and start a new one, repeatedly."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 8))
            self.world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.4, 2.5))
            self.world.start_leader()

    async def fail_vms(self):
        """Crash, partition and drain endpoints."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            vm_id = self.rng.choice(sorted(self.world.endpoints))
            endpoint = self.world.endpoints[vm_id]
            fault = self.rng.choice(("crash", "partition", "drain"))
            if fault == "crash":
                self.inject(self.crash(vm_id, endpoint))
            elif fault == "partition":
                self.inject(self.partition(endpoint))
            else:
                endpoint.is_draining = True
                self.inject(self.crash(vm_id, endpoint, delay=3))

    def inject(self, work):
        """Start a fault that ends by itself, possibly after the phase with faults."""
        task = asyncio.create_task(work)
        self.faults.add(task)
        task.add_done_callback(self.faults.discard)

    async def crash(self, vm_id, endpoint, delay=0):
        """Stop an endpoint; another starts with the same id or a new one."""
        await asyncio.sleep(delay)
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        await asyncio.sleep(self.rng.uniform(*self.down_s))
        if self.world.endpoints.get(vm_id) is not endpoint:
            return
        name = vm_id if self.rng.random() < self.same_name_share else f"{vm_id}x"
        if name != vm_id:
            del self.world.endpoints[vm_id]
        self.world.start_endpoint(name)

    async def partition(self, endpoint):
        """Disconnect an endpoint for a time; its runs continue."""
        endpoint.is_partitioned = True
        await asyncio.sleep(self.rng.uniform(0.5, self.max_partition_s))
        endpoint.is_partitioned = False

    async def submit(self):
        """Submit jobs of all kinds."""
        for number in range(N_JOBS):
            await self.world.submit(self.job(number))
            await asyncio.sleep(self.rng.uniform(0, 1.5))

    def job(self, number):
        """Return a job of one to three steps."""
        steps = tuple(
            StepSpec(
                n_tasks=self.rng.randint(1, 4),
                need=Amounts(self.rng.choice((500, 1_000, 2_000)), 10),
                estimate_ms=self.rng.choice((300, 1_000, 2_500)),
                after=(index - 1,) if index else (),
                is_speculative=self.rng.random() < 0.2,
            )
            for index in range(self.rng.randint(1, 3))
        )
        if self.rng.random() < 0.1:
            steps = (StepSpec(n_tasks=2, need=Amounts(500, 10), is_long_running=True),)
        return JobSpec(
            job_id=f"{number:016x}", queue="q", pool="p", steps=steps, payload="x"
        )

    def end_faults(self):
        """End the phase with faults; ensure that there is a leader."""
        self.world.max_commit_s = COMMIT_S
        self.world.loss_rate = 0.0
        self.world.failure_rate = 0.0
        if self.world.term.is_over:
            self.world.start_leader()


class TestLeaders(unittest.TestCase):
    """No history breaks a guarantee, and all jobs end after the faults have ended."""

    def check(self, seed, **options):
        world = run_virtually(Case(seed, **options).run)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.unfinished(), [])
        self.assertEqual(len(world.state.jobs), N_JOBS)

    def seeds(self):
        """Return the seeds of the suite, or those chosen by the environment."""
        first = 1
        n_seeds = N_SEEDS
        if "REDWINGSLIP_FUZZ_SEED" in os.environ:
            first = 1_000 * int(os.environ["REDWINGSLIP_FUZZ_SEED"])
            n_seeds = 1_000
        return range(first, first + n_seeds)

    def test_seeded_histories(self):
        for seed in (*REGRESSIONS, *self.seeds()):
            with self.subTest(seed=seed):
                self.check(seed)

    def test_seeded_histories_with_slow_commits(self):
        """Guards against a second run while the end of the first is being committed."""
        for seed in (*SLOW_COMMIT_REGRESSIONS, *self.seeds()):
            with self.subTest(seed=seed):
                self.check(seed, max_commit_s=0.6, max_partition_s=2)

    def test_seeded_histories_with_quick_restarts(self):
        """Guards against a task that starts again after its VM's successor did it."""
        for seed in (*QUICK_RESTART_REGRESSIONS, *self.seeds()):
            with self.subTest(seed=seed):
                self.check(seed, down_s=(0.05, 2.0), same_name_share=0.8)

    def test_calls_that_reach_a_successor_break_a_guarantee(self):
        """Shows that the histories would find calls to the next incarnation.

        Any change of the scheduling may change a single history.
        """
        problems = []
        for seed in SUCCESSOR_SEEDS:
            case = Case(
                seed, down_s=(0.05, 2.0), same_name_share=0.8, checks_incarnations=False
            )
            problems += run_virtually(case.run).problems
        self.assertTrue(problems)


if __name__ == "__main__":
    unittest.main()
