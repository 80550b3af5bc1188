"""Tests of gangs whose VMs crash.

Each history is drawn from a seed and runs in virtual time.
"""

import asyncio
import os
import random
import unittest

from redwingslip.jobs import (
    Amounts,
    EndKind,
    JobSpec,
    JobsState,
    NoteVm,
    Plan,
    Pool,
    RecordEnds,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.scheduling import OrderOutcomeUnknownError
from tests.scheduling_gangs import GangWorld
from tests.scheduling_world import COMMIT_S, NoPlatform
from tests.support_scheduling import PLAN
from tests.support_virtual_time import (
    LoopClock,
    VirtualTimeTestCase,
    run_virtually,
)

N_SEEDS = 15
N_VMS = 8
N_CRASHES = 4
MAX_WORK_MS = 6_000
# The longest lease of a lost run, a run of a gang from its start, and its orders.
RECOVERY_S = 10.5 + MAX_WORK_MS / 1000 + 5.0
CALM_S = 3.0


class GangHistory:
    """Gangs, and crashes of VMs that work for them.

    Parameters
    ----------
    seed : int
        Seed of the history.
    max_commit_s : float
        Longest duration of a commit.
    slow_answer_rate, late_report_rate : float
        See `LifecycleWorld`.
    """

    def __init__(
        self, seed, *, max_commit_s=COMMIT_S, slow_answer_rate=0.0, late_report_rate=0.0
    ):
        self.rng = random.Random(seed)
        self.max_commit_s = max_commit_s
        self.slow_answer_rate = slow_answer_rate
        self.late_report_rate = late_report_rate

    async def run(self, loop):
        """Run series of crashes with calm between them; return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        world = GangWorld(loop, self.rng, LoopClock(loop), state, n_vms=N_VMS)
        self.world = world
        world.operations = NoPlatform()
        world.max_commit_s = self.max_commit_s
        world.slow_answer_rate = self.slow_answer_rate
        world.late_report_rate = self.late_report_rate
        world.start_leader()
        ticks = asyncio.create_task(world.run_ticks())
        await asyncio.sleep(CALM_S)
        for number in range(N_CRASHES):
            await self.submit(number)
            await asyncio.sleep(self.rng.uniform(0.05, 4))
            await self.disturb()
            await asyncio.sleep(RECOVERY_S)
        ticks.cancel()
        world.stop_leader()
        return world

    async def submit(self, number):
        """Submit a gang that needs a VM for each of its members."""
        step = StepSpec(
            n_tasks=self.rng.randint(2, 5),
            need=Amounts(self.rng.choice((2_500, 1_500)), 100),
            estimate_ms=self.rng.randint(1_000, MAX_WORK_MS),
            is_gang=True,
            has_checkpoints=self.rng.random() < 0.7,
        )
        job_id = f"gang{number}"
        job = JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        await self.world.submit(job)

    async def disturb(self):
        """Crash a VM with a member, at times again or with another one."""
        world = self.world
        world.disturbed_at = float("inf")
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            busy = [e for e in world.endpoints.values() if e.is_up and e.runs]
            if busy:
                endpoint = self.rng.choice(busy)
                world.crash(endpoint)
                await asyncio.sleep(self.rng.choice((0.02, 0.3, 1.0, 3.0)))
                world.start_endpoint(endpoint.vm_id, address=endpoint.address)
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.5)))
        if self.rng.random() < 0.3:
            world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.4, 1.5))
            world.start_leader()
        world.disturbed_at = world.now()


class TestIncompleteGangs(VirtualTimeTestCase):
    """A gang of three on three of eight VMs, of which one member is missing."""

    async def asyncSetUp(self):
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        loop = asyncio.get_running_loop()
        rng = random.Random(1)
        self.world = GangWorld(loop, rng, LoopClock(loop), state, n_vms=N_VMS)
        self.world.late_report_rate = 0.0
        self.world.operations = NoPlatform()
        self.world.start_leader()
        self.ticks = asyncio.create_task(self.world.run_ticks())
        await asyncio.sleep(CALM_S)

    async def asyncTearDown(self):
        self.ticks.cancel()
        self.world.stop_leader()

    async def submit(self):
        """Submit the gang."""
        step = StepSpec(
            n_tasks=3, need=Amounts(2_500, 100), estimate_ms=1_000, is_gang=True
        )
        await self.world.submit(JobSpec(job_id="g", queue="q", pool="p", steps=(step,)))

    def members(self, number):
        """Return the endpoints and runs of a run of the gang."""
        return self.world.members(("g", 0, 0), number)

    async def check_soon_done(self):
        """Check that the gang is done within seconds, and that no member waited.

        What a VM has may be known only after a poll that has just begun.
        """
        await asyncio.sleep(5)
        self.assertEqual(self.world.unfinished(), [])
        self.assertEqual(self.world.alone, [])
        kinds = {e.kind for vm in self.world.endpoints.values() for e in vm.ends}
        self.assertNotIn(EndKind.ALONE, kinds)

    # GANG: the start of a member on a VM that had been replaced meanwhile was ignored,
    # and the others were started without it.
    async def test_a_gang_is_not_started_in_part(self):
        replaced = []
        apply = self.world.apply

        def replace_one_first(command):
            if isinstance(command, StartRuns) and not replaced:
                endpoint = self.world.endpoints[command.starts[0].vm_id]
                self.world.crash(endpoint)
                replaced.append(self.world.start_endpoint(endpoint.vm_id))
                apply(NoteVm(vm=replaced[0].record(), now_ms=self.world.term.now_ms()))
            return apply(command)

        self.world.apply = replace_one_first
        await self.submit()
        await self.check_soon_done()
        self.assertEqual(len(replaced), 1)
        n_starts = [len(starts) for starts in self.world.starts.values()]
        self.assertEqual(n_starts, [1, 1, 1])

    # GANG: the members that had started waited for one whose VM had crashed.
    async def test_members_that_wait_for_a_lost_one_are_stopped(self):
        endpoint = self.world.endpoints["v0"]

        def lose_order(run, fence, until_ms):
            raise OrderOutcomeUnknownError("no answer")

        endpoint.start = lose_order
        await self.submit()
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.members(1)), 2)
        self.world.crash(endpoint)
        self.world.start_endpoint(endpoint.vm_id)
        await self.check_soon_done()

    # GANG: a new leader sent the orders for a gang that its predecessor had given up.
    async def test_a_new_leader_does_not_start_the_rest_of_a_gang(self):
        self.world.stop_leader()
        vms = list(self.world.state.vms.values())
        step = StepSpec(
            n_tasks=3, need=Amounts(2_500, 100), estimate_ms=1_000, is_gang=True
        )
        job = JobSpec(job_id="g", queue="q", pool="p", steps=(step,))
        keys = [TaskKey("g", 0, 0, index) for index in range(3)]
        starts = tuple(
            RunStart(key, vm.vm_id, vm.born_ms)
            for key, vm in zip(keys, vms, strict=False)
        )
        end = RunEnd(keys[0], 1, EndKind.REJECTED)
        for command in (
            SubmitJob(spec=job, now_ms=1),
            StartRuns(starts=starts, now_ms=1),
            RecordEnds(
                vm_id=vms[0].vm_id, born_ms=vms[0].born_ms, ends=(end,), now_ms=1
            ),
        ):
            self.world.state.apply(command)
        self.world.start_leader()
        await self.check_soon_done()
        n_starts = [len(starts) for starts in self.world.starts.values()]
        self.assertEqual(n_starts, [1, 1, 1])


class TestGangHistories(unittest.TestCase):
    """Gangs work again soon after a crash, and none of their runs waits in vain."""

    def seeds(self):
        """Return the seeds of the suite, or those chosen by the environment."""
        if "REDWINGSLIP_FUZZ_SEED" in os.environ:
            first = 1_000 * int(os.environ["REDWINGSLIP_FUZZ_SEED"])
            return range(first, first + 200)
        return range(1, N_SEEDS + 1)

    def check(self, **options):
        for seed in self.seeds():
            with self.subTest(seed=seed):
                world = run_virtually(GangHistory(seed, **options).run)
                self.assertEqual(world.problems, [])
                self.assertEqual(world.alone, [])
                self.assertEqual(world.unfinished(), [])

    def test_crashes(self):
        """Guards against GANG: members that wait for one that does not come."""
        self.check()

    def test_crashes_with_slow_commits(self):
        """Guards against GANG: a VM that is replaced while a gang is being placed."""
        self.check(max_commit_s=0.4)

    def test_crashes_with_slow_answers_and_late_reports(self):
        """Guards against GANG: orders and reports that overtake each other."""
        self.check(slow_answer_rate=0.3, late_report_rate=0.3)


if __name__ == "__main__":
    unittest.main()
