"""Histories of long-running tasks whose only room is spoken for.

The pattern is a pool in which the room that a long-running task needs exists, but is
held by gangs, by machines that a wave is about to maintain, or by tickets. The
histories run in virtual time, and are checked as in `test_scheduling_long_running`.
"""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.jobs import Amounts, JobSpec, StartWave, StepSpec
from redwingslip.scheduling import (
    Advice,
    MachineOutcome,
    MachineState,
    MachineView,
)
from tests.scheduling_endpoints import CALL_S, CAPACITY
from tests.test_scheduling_long_running import LAST_FAULT_S, LossyPool, check_history

MAINTENANCE_S = 2.0
NOISY_SEEDS = range(3)
GANG_SEEDS = (*range(3), 5, 6, 13)
# Seeds that have found a fault stay here.
WAVE_SEEDS = (*range(3), 5, 8, 11, 12, 17, 27, 28)
ADVICE_SEEDS = (0, 3, 16, 25)
TICKET_VALIDITY = timedelta(seconds=8)


class GangPool(LossyPool):
    """A pool whose short work is gangs that take all of it for a long time."""

    async def submit_short(self):
        """Submit gangs as long as they wait for room."""
        number = 0
        while True:
            step = StepSpec(
                n_tasks=self.rng.randint(2, 2 * self.n_vms),
                need=Amounts(self.rng.choice((400, 900, 1500)), 10),
                estimate_ms=100_000,
                is_gang=True,
            )
            number += 1
            job = JobSpec(job_id=f"gang{number}", queue="q", pool="p", steps=(step,))
            await self.world.submit(job)
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))


class NoisyPool(LossyPool):
    """A full pool whose VMs fall silent while many calls to the others are lost."""

    def __init__(self, seed):
        super().__init__(seed, falls_silent=True)
        self.n_vms = self.rng.randint(5, 9)
        self.load = 2.0

    async def crash(self):
        """Let a VM fall silent amid lost calls, again and again."""
        while self.world.now() < LAST_FAULT_S:
            await asyncio.sleep(self.rng.uniform(1, 6))
            self._disturbed_at = self.world.now()
            self.world.loss_rate = 0.4
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            up = self.sound_endpoints()
            if len(up) > 3:
                endpoint = self.rng.choice(up)
                endpoint.is_partitioned = True
                endpoint.runs.clear()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            self.world.loss_rate = 0.0
            self._disturbed_at = self.world.now()


class WavePool(LossyPool):
    """A pool of which a wave maintains all machines, while VMs crash for good."""

    def __init__(self, seed):
        super().__init__(seed)
        self.crash_interval_s = 3
        self.restart_s = None
        self.load = 0.3

    async def submit_long_running(self, job_id):
        """Submit a job of which only one task may be stopped at a time."""
        step = StepSpec(
            n_tasks=self.n_vms,
            need=Amounts(900, 10),
            max_per_vm=self.rng.choice((0, 2)),
            is_long_running=True,
            disruption_budget=1,
        )
        await self.world.submit(
            JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        )

    async def run(self, loop):
        """Run the history with a platform that maintains machines."""
        self.operations = MaintainingPlatform(self)
        return await super().run(loop)

    async def submit_short(self):
        """Start a wave beside the short jobs."""
        await asyncio.sleep(self.rng.uniform(1, 6))
        machines = tuple(e.machine for e in self.world.endpoints.values())
        wave = StartWave(
            number=1,
            machines=machines,
            duration_ms=self.rng.choice((4_000, 8_000, 15_000)),
            max_at_once=self.rng.randint(1, self.n_vms),
            now_ms=self.world.term.now_ms(),
        )
        await self.world.term.propose_or_log(wave)
        await super().submit_short()


class MaintainingPlatform:
    """A platform that carries out maintenance at once."""

    def __init__(self, pool):
        self._pool = pool
        self.maintained = set()

    async def list_machines(self):
        """Return the machines of the VMs that are up."""
        return tuple(
            MachineView(
                machine=endpoint.machine,
                pool="p",
                state=MachineState.UP,
                capacity=CAPACITY,
                labels=("a", "r1"),
            )
            for endpoint in self._pool.sound_endpoints()
        )

    async def move(self, machine, pool, *, fence):
        """Refuse a move."""
        await asyncio.sleep(CALL_S)
        return MachineOutcome.BUSY

    async def maintain(self, machine, wave, *, fence):
        """End the VM of a machine, and start another one after the maintenance."""
        await asyncio.sleep(CALL_S)
        for endpoint in self._pool.sound_endpoints():
            if endpoint.machine == machine and machine not in self.maintained:
                self.maintained.add(machine)
                endpoint.is_up = False
                asyncio.get_running_loop().call_later(
                    MAINTENANCE_S, self._pool.world.start_endpoint, endpoint.vm_id
                )
                return MachineOutcome.DONE
        known = machine in self.maintained
        return MachineOutcome.DONE if known else MachineOutcome.UNKNOWN_MACHINE


class AdvisedPool(LossyPool):
    """A pool whose VMs need tickets, with much short work that asks for them too."""

    def __init__(self, seed):
        super().__init__(seed)
        self.plan_options = {"needs_advice": True}
        self.load = 2.0

    async def run(self, loop):
        """Run the history with an adviser."""
        self.adviser = SlowAdviser(self, decision_s=self.rng.choice((0.1, 0.4)))
        return await super().run(loop)


class SlowAdviser:
    """An adviser that answers one call at a time, with tickets for most VMs.

    A ticket is valid for one incarnation of a VM.
    """

    def __init__(self, pool, *, decision_s):
        self._pool = pool
        self._decision_s = decision_s

    async def request_advice(self, step, vm_ids):
        """Return tickets for the VMs that are up."""
        await asyncio.sleep(self._decision_s)
        endpoints = self._pool.world.endpoints
        tickets = {vm_id: str(endpoints[vm_id].born_ms) for vm_id in vm_ids}
        return Advice(tickets=tickets, validity=TICKET_VALIDITY)

    def accepts(self, endpoint, ticket):
        """Return whether an incarnation of a VM accepts a ticket."""
        return ticket == str(endpoint.born_ms)


class TestHeldRoom(unittest.TestCase):
    """A lasting task that doesn't run although its pool has room for it."""

    # LOST: in a pool full of gangs, nothing was ever stopped for a lasting task.
    def test_a_pool_full_of_gangs(self):
        """Guards against lasting tasks that wait for gangs to end."""
        for seed in GANG_SEEDS:
            with self.subTest(seed=seed):
                check_history(self, GangPool(seed))

    def test_a_full_pool_amid_lost_calls(self):
        """Guards against waits that add up, after one another, beyond the bound."""
        for seed in NOISY_SEEDS:
            with self.subTest(seed=seed):
                check_history(self, NoisyPool(seed))

    # LOST: restarts waited for their tickets behind the requests of short tasks.
    def test_a_pool_whose_vms_need_tickets(self):
        """Guards against lasting tasks that wait for tickets of other tasks."""
        for seed in ADVICE_SEEDS:
            with self.subTest(seed=seed):
                check_history(self, AdvisedPool(seed))

    # LOST: the tasks of a VM that had crashed fitted only on machines that waited for
    # their maintenance, which waited for these tasks.
    def test_a_wave_over_a_pool_that_loses_vms(self):
        """Guards against lasting tasks that wait for machines of a wave."""
        for seed in WAVE_SEEDS:
            with self.subTest(seed=seed):
                check_history(self, WavePool(seed))


if __name__ == "__main__":
    unittest.main()
