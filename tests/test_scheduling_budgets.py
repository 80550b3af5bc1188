"""Histories of waves over pools whose long-running tasks have disruption budgets.

The pattern is a wave over machines with several tasks of a step, of which each takes
some time to start. Each order that ends a task is checked against the budget where it
has its effect. The histories run in virtual time.
"""

import asyncio
import unittest

from redwingslip.jobs import Amounts, JobSpec, StepSpec
from redwingslip.scheduling import MachineOutcome
from tests.support_virtual_time import run_virtually
from tests.test_scheduling_long_running import LAST_FAULT_S
from tests.test_scheduling_long_running_room import MaintainingPlatform, WavePool

RESTART_S = 3.2
# Seeds that have found a fault stay here.
SEEDS = (*range(3), 14, 26)
CRASH_SEEDS = (0, 1, 3, 9, 24, 26)


class BudgetPool(WavePool):
    """A pool in which tasks take time to start, and nothing fails."""

    async def run(self, loop):
        """Run the history with checks of the budgets."""
        self.operations = CheckingPlatform(self)
        return await super(WavePool, self).run(loop)

    async def submit_long_running(self, job_id):
        """Submit a job with several tasks for each VM."""
        self.world.start_up_s = self.rng.choice((0.1, 0.4, 1.1))
        self.world.failure_rate = 0
        self.world.on_stop = lambda endpoint, key: self.world.check_budgets(
            endpoint, {key}
        )
        n_tasks = self.rng.randint(2, 2 * self.n_vms)
        step = StepSpec(
            n_tasks=n_tasks,
            need=Amounts(self.rng.choice((400, 900)), 10),
            is_long_running=True,
            disruption_budget=self.rng.randint(1, 2),
        )
        await self.world.submit(
            JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        )

    async def crash(self):
        """Let no VM crash."""


class CrashingPool(BudgetPool):
    """A pool whose VMs crash or fall silent, and come back, during the wave."""

    async def crash(self):
        """Crash VMs while more than two are up."""
        loop = asyncio.get_running_loop()
        while self.world.now() < LAST_FAULT_S:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            up = self.sound_endpoints()
            if len(up) <= 2:
                continue
            endpoint = self.rng.choice(up)
            for key in filter(self.world.is_at_work, endpoint.runs):
                self.world.crashed_at[key] = self.world.now()
            endpoint.is_partitioned = self.rng.random() < 0.5
            endpoint.is_up = endpoint.is_partitioned
            endpoint.runs.clear()
            loop.call_later(RESTART_S, self.world.start_endpoint, endpoint.vm_id)


class CheckingPlatform(MaintainingPlatform):
    """A platform that checks the disruption budgets before it ends a VM."""

    async def maintain(self, machine, wave, *, fence):
        """Check the budgets, and end the VM of a machine; one without is busy."""
        for endpoint in self._pool.sound_endpoints():
            if endpoint.machine == machine:
                self._pool.world.check_budgets(endpoint, set(endpoint.runs))
                return await super().maintain(machine, wave, fence=fence)
        return MachineOutcome.BUSY


class TestDisruptionBudgets(unittest.TestCase):
    """More tasks of a step that are away than may be, by orders of the leader."""

    # AVAIL: a task was stopped beside one that had just been placed on its machine.
    def test_waves_over_tasks_that_take_time_to_start(self):
        """Guards against a stop of a task while others of its step are starting."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = BudgetPool(seed)
                world = run_virtually(history.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(len(history.operations.maintained), history.n_vms)

    # AVAIL: a task counted as at work for 2.2 s after the last answer of its VM.
    def test_waves_over_vms_that_crash(self):
        """Guards against a stop of a task beside one whose VM has crashed."""
        for seed in CRASH_SEEDS:
            with self.subTest(seed=seed):
                history = CrashingPool(seed)
                world = run_virtually(history.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(len(history.operations.maintained), history.n_vms)


if __name__ == "__main__":
    unittest.main()
