"""Histories of long-running tasks in small pools that lose VMs.

The pattern is a pool with more long-running tasks than VMs, full of short tasks, of
which VMs crash for good or for a while. The histories run in virtual time.
"""

import asyncio
import random
import unittest

from msgspec.structs import replace

from redwingslip.jobs import (
    Amounts,
    JobSpec,
    JobsState,
    Plan,
    Pool,
    ReplacePlan,
    StepSpec,
    iter_tasks,
)
from tests.scheduling_world import NoPlatform, World
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock, run_virtually

# Platform contract: a long-running task counts as lost that is away for `AWAY_S` and
# then for `WINDOW_S` more, with room for two of it and without a disturbance in that
# window and in the `CALM_S` before it.
AWAY_S = 6.0
WINDOW_S = 3.0
CALM_S = 4.0
HISTORY_S = 45
LAST_FAULT_S = 25
CHECK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.5
# Seeds that have found a fault stay here: tasks waited for VMs without others of their
# step, with room on the others.
REGRESSIONS = (35, 50, 68, 112, 121, 148, 205, 215, 216)
SEEDS = (*range(6), *REGRESSIONS)
# The same for VMs that fall silent: their leases expired too late.
SILENT_SEEDS = (*range(3), 43, 44, 107)


class LossyPool:
    """A history of one pool, whose size, work and faults are drawn by its seed.

    Parameters
    ----------
    seed : int
        Seed of the history.
    falls_silent : bool
        Whether VMs that crash leave calls without an answer, and don't come back.

    Attributes
    ----------
    lost : dict of TaskKey to str
        What is known of the tasks that were lost.
    """

    def __init__(self, seed, *, falls_silent=False):
        self.rng = random.Random(seed)
        self.falls_silent = falls_silent
        self.n_vms = self.rng.randint(3, 7)
        self.load = self.rng.choice((0.3, 0.9, 2.0))
        self.crash_interval_s = self.rng.choice((3, 9))
        self.restart_s = self.rng.choice((0.5, 3.2, None))
        self.operations = NoPlatform()
        self.adviser = None
        self.plan_options = {}
        self.lost = {}
        self._last_ran_at = {}
        self._has_room_since = {}
        self._disturbed_at = -CALM_S

    async def run(self, loop):
        """Run the history and return the world."""
        state = JobsState()
        queues = tuple(replace(queue, **self.plan_options) for queue in PLAN.queues)
        plan = Plan(version=1, queues=queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        clock = LoopClock(loop)
        self.world = World(loop, self.rng, clock, state, n_vms=self.n_vms)
        self.world.operations = self.operations
        self.world.adviser = self.adviser
        self.world.failure_rate = self.rng.choice((0, 0.05))
        self.world.start_leader()
        tasks = [
            asyncio.create_task(work)
            for work in (self.report(), self.check(), self.submit_short(), self.crash())
        ]
        for number in range(self.rng.randint(1, 2)):
            await self.submit_long_running(f"long{number}")
        await asyncio.sleep(HISTORY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.world.stop_leader()
        return self.world

    def sound_endpoints(self):
        """Return the endpoints that are up and answer."""
        return [
            endpoint
            for endpoint in self.world.endpoints.values()
            if endpoint.is_up and not endpoint.is_partitioned
        ]

    async def submit_long_running(self, job_id):
        """Submit a job with up to one task for each VM."""
        step = StepSpec(
            n_tasks=self.rng.randint(2, self.n_vms),
            need=Amounts(self.rng.choice((400, 900, 1300)), 10),
            max_per_vm=self.rng.choice((0, 1, 2)),
            is_long_running=True,
            disruption_budget=self.rng.choice((0, 1, 1)),
        )
        await self.world.submit(
            JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        )

    async def submit_short(self):
        """Submit short jobs that use the pool to `load`."""
        number = 0
        while True:
            step = StepSpec(
                n_tasks=self.rng.randint(1, 6),
                need=Amounts(self.rng.choice((400, 900, 1500)), 10),
                estimate_ms=self.rng.choice((400, 1000, 2500)),
            )
            number += 1
            job = JobSpec(job_id=f"short{number}", queue="q", pool="p", steps=(step,))
            await self.world.submit(job)
            work = step.n_tasks * step.need.cpu * step.estimate_ms / 1000
            await asyncio.sleep(max(0.02, work / (self.n_vms * 4000 * self.load)))

    async def report(self):
        """Send the reports of the endpoints."""
        while True:
            for endpoint in self.sound_endpoints():
                await self.world.report(endpoint)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def crash(self):
        """Crash VMs while more than two are up."""
        while self.world.now() < LAST_FAULT_S:
            await asyncio.sleep(self.rng.uniform(0.5, 2) * self.crash_interval_s)
            up = self.sound_endpoints()
            if len(up) > 2:
                endpoint = self.rng.choice(up)
                self._disturbed_at = self.world.now()
                if self.falls_silent:
                    endpoint.is_partitioned = True
                    endpoint.runs.clear()
                    continue
                endpoint.is_up = False
                if self.restart_s:
                    loop = asyncio.get_running_loop()
                    loop.call_later(self.restart_s, self._restart, endpoint.vm_id)

    def _restart(self, vm_id):
        self.world.start_endpoint(vm_id)
        self._disturbed_at = self.world.now()

    async def check(self):
        """Look for long-running tasks that don't run although there is room."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            endpoints = self.sound_endpoints()
            for endpoint in endpoints:
                endpoint.update()
            running = {key for endpoint in endpoints for key in endpoint.runs}
            for job in tuple(self.world.state.jobs.values()):
                if job.spec.steps[0].is_long_running:
                    for key, _ in iter_tasks(job):
                        self._check_task(key, key in running, endpoints)

    def _check_task(self, key, is_running, endpoints):
        now = self.world.now()
        if is_running:
            self._last_ran_at[key] = now
        away_since = self._last_ran_at.setdefault(key, now)
        if is_running or self._n_places(key, endpoints) < 2:
            self._has_room_since.pop(key, None)
            return
        has_room_since = self._has_room_since.setdefault(key, now)
        if now - WINDOW_S >= max(
            has_room_since, away_since + AWAY_S, self._disturbed_at + CALM_S
        ):
            self.lost.setdefault(key, f"away since {away_since:.1f} s, at {now:.1f} s")

    def _n_places(self, key, endpoints):
        """Return how many tasks like this one fit beside all long-running ones."""
        step = self.world.state.step(key)
        n_places = 0
        for endpoint in endpoints:
            steps = [self.world.state.step(other) for other in endpoint.runs]
            used = sum(s.need.cpu for s in steps if s.is_long_running)
            n_here = (endpoint.capacity.cpu - used) // step.need.cpu
            if step.max_per_vm:
                n_of_step = sum(other[:3] == key[:3] for other in endpoint.runs)
                n_here = min(n_here, step.max_per_vm - n_of_step)
            n_places += max(0, n_here)
        return n_places


def check_history(case, history):
    """Play a history, and check that it lost no task."""
    world = run_virtually(history.run)
    case.assertEqual(world.problems, [])
    case.assertEqual(history.lost, {})


class TestLongRunningTasks(unittest.TestCase):
    """A lasting task that doesn't run with room for it, in whatever pool."""

    def test_seeded_histories(self):
        """Guards against tasks that wait for VMs which the pool no longer has."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                check_history(self, LossyPool(seed))

    def test_seeded_histories_of_vms_that_fall_silent(self):
        """Guards against runs that are given up long after their lease has expired."""
        for seed in SILENT_SEEDS:
            with self.subTest(seed=seed):
                check_history(self, LossyPool(seed, falls_silent=True))


if __name__ == "__main__":
    unittest.main()
