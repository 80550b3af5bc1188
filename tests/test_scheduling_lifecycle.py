"""Tests of VMs that leave or are replaced, and of leaders that are paused.

Each history is drawn from a seed and runs in virtual time.
"""

import asyncio
import contextlib
import unittest

from redwingslip.jobs import JobsState, Plan, Pool, ReplacePlan
from redwingslip.scheduling import SchedulingError, StartResult
from tests.scheduling_endpoints import CAPACITY
from tests.scheduling_lifecycle import LifecycleWorld
from tests.scheduling_platform import Platform
from tests.scheduling_world import NoPlatform
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock, run_virtually
from tests.test_scheduling_leaders import FAULTS_S, N_JOBS, RECOVERY_S, Case

N_SEEDS = 8
FIRST_LEFT_SEED = 2_004
REFUSALS = (StartResult.UNHEALTHY, StartResult.NO_TICKET, StartResult.LATE)
N_WAVES = 3
WAVE_MS = 12_000


class LifecycleCase(Case):
    """A history of VMs that leave; see `Case`.

    Parameters
    ----------
    seed : int
        Seed of the history.
    faults : collection of str
        The kinds of faults: ``leave``, ``crash``, ``partition``, ``refuse`` and
        ``resize`` (of VMs), ``pause`` and ``replace`` (of the leader).
    late_report_rate, answer_loss_rate, slow_answer_rate : float
        See `LifecycleWorld`.
    """

    pools = (Pool(name="p"),)

    def __init__(
        self,
        seed,
        *,
        faults,
        late_report_rate=0.0,
        answer_loss_rate=0.0,
        slow_answer_rate=0.0,
        **options,
    ):
        super().__init__(seed, **options)
        self.kinds = faults
        self.late_report_rate = late_report_rate
        self.answer_loss_rate = answer_loss_rate
        self.slow_answer_rate = slow_answer_rate

    async def run(self, loop):
        """Run a phase with faults, then one without; return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=self.pools)
        state.apply(ReplacePlan(plan=plan))
        world = LifecycleWorld(loop, self.rng, LoopClock(loop), state)
        self.world = world
        world.operations = self.make_platform()
        world.late_report_rate = self.late_report_rate
        world.answer_loss_rate = self.answer_loss_rate
        world.slow_answer_rate = self.slow_answer_rate
        world.loss_rate = self.rng.choice((0.0, 0.05, 0.2))
        world.failure_rate = self.rng.choice((0.0, 0.05))
        world.max_commit_s = self.max_commit_s
        world.start_leader()
        tasks = [
            asyncio.create_task(work)
            for work in (self.change_leaders(), self.fail_vms())
        ]
        jobs = asyncio.create_task(self.submit())
        await asyncio.sleep(FAULTS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.end_faults()
        await jobs
        await asyncio.sleep(RECOVERY_S)
        self.world.stop_leader()
        return self.world

    def make_platform(self):
        """Return the platform of the history."""
        return NoPlatform()

    def end_faults(self):
        """End the phase with faults; ensure that there is a leader."""
        if self.world.term.paused_at is not None:
            self.world.stop_leader()
        super().end_faults()
        self.world.late_report_rate = 0.0
        self.world.answer_loss_rate = 0.0
        self.world.slow_answer_rate = 0.0
        for endpoint in self.world.endpoints.values():
            endpoint.resize(CAPACITY.cpu)

    async def change_leaders(self):
        """Pause leaders, or stop them and start others."""
        kinds = [kind for kind in ("pause", "replace") if kind in self.kinds]
        while kinds:
            await asyncio.sleep(self.rng.uniform(0.3, 8))
            if self.rng.choice(kinds) == "pause":
                await self.world.pause_leader(self.rng.uniform(0.3, 8))
                continue
            self.world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.4, 2.5))
            self.world.start_leader()

    async def fail_vms(self):
        """Let VMs crash, leave and lose their connections."""
        all_kinds = ("crash", "leave", "partition", "refuse", "resize")
        kinds = [kind for kind in all_kinds if kind in self.kinds]
        while kinds:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            vm_id = self.rng.choice(sorted(self.world.endpoints))
            endpoint = self.world.endpoints[vm_id]
            if not endpoint.is_up or endpoint.is_draining:
                continue
            kind = self.rng.choice(kinds)
            if kind == "partition":
                self.inject(self.partition(endpoint))
            elif kind == "refuse":
                self.inject(self.refuse(endpoint))
            elif kind == "resize":
                endpoint.resize(self.rng.choice((1_000, 2_000, 4_000, 8_000)))
            else:
                self.inject(self.end_vm(endpoint, leaves=kind == "leave"))

    async def refuse(self, endpoint):
        """Let an endpoint refuse all starts for a time."""
        endpoint.refusal = self.rng.choice(REFUSALS)
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        endpoint.refusal = None

    async def end_vm(self, endpoint, *, leaves):
        """End a VM; later another starts at its place, or its next incarnation."""
        if leaves:
            await endpoint.leave(self.rng.uniform(0.3, 3))
        endpoint.is_up = False
        await asyncio.sleep(self.rng.uniform(1.5, 4))
        if self.world.endpoints.get(endpoint.vm_id) is not endpoint:
            return
        del self.world.endpoints[endpoint.vm_id]
        name = endpoint.vm_id if self.rng.random() < 0.3 else next(self.world.names)
        address = endpoint.address if self.rng.random() < 0.5 else f"{name}:2"
        self.world.start_endpoint(name, machine=endpoint.machine, address=address)


class PlatformCase(LifecycleCase):
    """A history with moves of machines and maintenance waves; see `LifecycleCase`."""

    pools = PLAN.pools

    def make_platform(self):
        """Return a platform that loses and refuses orders."""
        return Platform(self.world, enforces_fences=self.rng.random() < 0.5)

    def end_faults(self):
        """End the phase with faults; ensure that there is a leader."""
        super().end_faults()
        self.world.operations.loss_rate = 0.0
        self.world.operations.refusal_rate = 0.0

    async def submit(self):
        """Submit jobs, and start waves over all machines meanwhile."""
        waves = asyncio.create_task(self.start_waves())
        await super().submit()
        await waves

    async def start_waves(self):
        """Start a wave every few seconds."""
        for number in range(1, N_WAVES + 1):
            await asyncio.sleep(self.rng.uniform(2, 8))
            while number not in self.world.state.waves:
                with contextlib.suppress(SchedulingError):
                    await self.world.service.start_wave(
                        number=number,
                        machines=tuple(self.world.operations.pools),
                        duration_ms=WAVE_MS,
                        max_at_once=2,
                    )
                await asyncio.sleep(0.2)


class TestLifecycle(unittest.TestCase):
    """No history breaks a guarantee, and all jobs end after the faults have ended."""

    def check(self, seed, case=LifecycleCase, **options):
        world = run_virtually(case(seed, **options).run)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.unfinished(), [])
        self.assertEqual(len(world.state.jobs), N_JOBS)

    def test_paused_leaders(self):
        """Guards against orders of a leader that wakes after another has begun."""
        for seed in range(1, N_SEEDS + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("pause", "crash", "partition"))

    def test_vms_that_leave(self):
        """Guards against runs that start elsewhere while their VM still leaves."""
        for seed in range(1, N_SEEDS + 1):
            with self.subTest(seed=seed):
                self.check(
                    seed,
                    faults=("leave", "replace"),
                    late_report_rate=0.2,
                    answer_loss_rate=0.3,
                )

    def test_vms_that_have_left(self):
        """Guards against starts on a VM that left, for a report from before that."""
        for seed in range(FIRST_LEFT_SEED, FIRST_LEFT_SEED + N_SEEDS):
            with self.subTest(seed=seed):
                self.check(
                    seed,
                    faults=("leave", "replace"),
                    late_report_rate=0.6,
                    answer_loss_rate=0.8,
                )

    def test_refusals_and_slow_answers(self):
        """Guards against runs that are closed while an order for them is under way."""
        for seed in range(1, N_SEEDS + 1):
            with self.subTest(seed=seed):
                self.check(
                    seed,
                    faults=("refuse", "resize", "replace", "partition"),
                    slow_answer_rate=0.3,
                )

    def test_moves_and_maintenance(self):
        """Guards against the removal of a VM that came back after an order."""
        for seed in range(1, N_SEEDS + 1):
            with self.subTest(seed=seed):
                self.check(seed, case=PlatformCase, faults=("replace", "pause"))


if __name__ == "__main__":
    unittest.main()
