"""Histories of a pool whose VMs are silent: cut off from the leader, crashed or both.

Sound jobs of several kinds run there, and in some histories tasks that crash their VMs.
All draws come from a seed.
"""

import asyncio
import random

from redwingslip.jobs import (
    Amounts,
    JobSpec,
    JobsState,
    Plan,
    Pool,
    ReplacePlan,
    StepSpec,
    TaskKey,
    iter_tasks,
)
from tests.scheduling_world import World
from tests.support_scheduling import PLAN
from tests.support_virtual_time import LoopClock

NEED = Amounts(400, 10)
REPORT_S = 0.2
# Longer than a lease, which lasts 6 s.
CUT_S = 8.0
N_CUTS = 9
MIN_GAP_S, MAX_GAP_S = 0.6, 3.0
# Longer than `AgentSettings.gone_after`, after which the leader removes the VM.
MIN_LONG_CUT_S, MAX_LONG_CUT_S = 22.0, 30.0
# Platform contract: a long-running task may be away for this long while there is room.
MAX_AWAY_S = 9.0
# All finite jobs can be done this long after the last fault.
FINISH_S = 45.0
CRASH_DELAY_S = 0.01
# A task is given up after this many crashes.
N_DEADLY_CRASHES = 4
# Times from the start of a task to the cut of its VM, and to the crash behind the cut.
REBORN_CUT_S = 0.4
REBORN_CRASH_S = 2.0
# A crash is known 7 s after it, or later by a change of leader or if a task must wait
# for a VM of its own.
KNOWN_S = 16.0


class SilentPool:
    """A history of one pool, whose VMs are cut off or crash.

    Parameters
    ----------
    seed : int
        Seed of the history.
    n_vms : int
        Number of VMs.
    leader_changes : bool
        Whether the leader is replaced until the last fault has ended.
    startup_s : float
        Time until a long-running task is at work, in seconds.

    Attributes
    ----------
    away : list of str
        Long-running tasks that do not run `MAX_AWAY_S` after the last fault.
    change_interval_s : tuple of float
        Bounds of the time between two changes of leader. A silent VM counts as ended up
        to 7 s after a change.
    submitted : list of str
        Jobs that were submitted.
    n_crashes, n_cuts, n_removed : int
        Numbers of crashes, of cuts that have ended, and of VMs among the latter that
        the leader had removed meanwhile.
    """

    change_interval_s = (4, 14)

    def __init__(self, seed, *, n_vms=6, leader_changes=False, startup_s=0.5):
        self.rng = random.Random(seed)
        self.n_vms = n_vms
        self.leader_changes = leader_changes
        self.startup_s = startup_s
        self.away = []
        self.submitted = []
        self.n_crashes = self.n_cuts = self.n_removed = 0
        self._dead = set()
        self._last_started_at = {}

    async def run(self, loop):
        """Run the history and return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        clock = LoopClock(loop)
        world = self.world = World(loop, self.rng, clock, state, n_vms=self.n_vms)
        world.percent = self.percent
        world.on_start = self.handle_start
        world.start_leader()
        reports = asyncio.create_task(self.report())
        await self.play()
        reports.cancel()
        await asyncio.gather(reports, return_exceptions=True)
        world.stop_leader()
        return world

    async def play(self):
        """Let faults happen, then wait until all jobs can be done."""
        changes = asyncio.create_task(self.change_leaders())
        submits = asyncio.create_task(self.submit_jobs())
        await self.cause_faults()
        for task in (changes, submits):
            task.cancel()
        await asyncio.gather(changes, submits, return_exceptions=True)
        if self.world.term.is_over:
            self.world.start_leader()
        await asyncio.sleep(MAX_AWAY_S)
        self.away = self.find_away()
        await asyncio.sleep(FINISH_S - MAX_AWAY_S)

    async def submit_jobs(self):
        """Submit the jobs."""

    async def cause_faults(self):
        """Return when the last fault has ended."""

    def handle_start(self, endpoint, run):
        """Note the time of a start."""
        self._last_started_at[run.key] = self.world.now()

    def percent(self, run):
        """Return the progress of a run, which goes on at an even pace."""
        started_at = self._last_started_at[run.key]
        age_s = self.world.now() - started_at
        if self.world.state.step(run.key).is_long_running:
            return 100 if age_s >= self.startup_s else 99 * age_s / self.startup_s
        return min(99, 100 * age_s / (run.ends_at - started_at))

    def reachable(self):
        """Return the endpoints that are up and answer."""
        endpoints = self.world.endpoints.values()
        return [e for e in endpoints if e.is_up and not e.is_partitioned]

    async def report(self):
        """Send the reports of the endpoints."""
        while True:
            for endpoint in self.reachable():
                await self.world.report(endpoint)
            await asyncio.sleep(REPORT_S)

    async def change_leaders(self):
        """Replace some leaders in series, and then others from time to time."""
        for _ in range(self.rng.randint(2, 5)):
            await self.change_leader(self.rng.uniform(0.5, 2))
        while self.leader_changes:
            await self.change_leader(self.rng.uniform(*self.change_interval_s))

    async def change_leader(self, delay_s):
        """Replace the leader after a time."""
        await asyncio.sleep(delay_s)
        self.world.stop_leader()
        await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        self.world.start_leader()

    async def cut_off(self, endpoint, duration_s):
        """Cut an endpoint off for a time; it stays the same incarnation."""
        endpoint.is_partitioned = True
        await asyncio.sleep(duration_s)
        if endpoint not in self._dead:
            endpoint.is_partitioned = False
            self.n_cuts += 1
            self.n_removed += endpoint.vm_id not in self.world.state.vms

    def crash(self, endpoint, restart_s, is_dark=False):
        """Crash an endpoint; a new VM starts at its place later, if at all.

        Calls to a dark place get no answer at all, others are refused.
        """
        if not endpoint.is_up or endpoint in self._dead:
            return
        self._dead.add(endpoint)
        self.n_crashes += 1
        endpoint.runs.clear()
        endpoint.is_partitioned = is_dark
        endpoint.is_up = is_dark
        if restart_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(restart_s, self.world.start_endpoint, endpoint.vm_id)

    async def submit(self, job_id, **step):
        """Submit a job of one step."""
        steps = (StepSpec(**{"n_tasks": 1, "need": NEED, **step}),)
        spec = JobSpec(job_id=job_id, queue="q", pool="p", steps=steps)
        await self.world.submit(spec)
        self.submitted.append(job_id)

    async def submit_long_running(self, job_id):
        """Submit a job with three tasks on three VMs."""
        step = {"n_tasks": 3, "max_per_vm": 1, "disruption_budget": 1}
        await self.submit(job_id, is_long_running=True, **step)

    async def submit_finite(self):
        """Submit finite jobs of several kinds, one after the other."""
        gang = {"n_tasks": 3, "is_gang": True, "has_checkpoints": True}
        kinds = (
            {"n_tasks": 3, "estimate_ms": 800},
            {"n_tasks": 1, "estimate_ms": 20_000},
            {"n_tasks": 2, "estimate_ms": 6_000, "has_checkpoints": True},
            {**gang, "estimate_ms": 7_000},
        )
        while True:
            number = len(self.submitted)
            await self.submit(f"sound{number}", **kinds[number % len(kinds)])
            await asyncio.sleep(self.rng.uniform(0.5, 4))

    def find_away(self):
        """Return the long-running tasks that do not run."""
        running = {key for endpoint in self.reachable() for key in endpoint.runs}
        return [
            f"{key.job_id} {key.index}"
            for job in self.world.state.jobs.values()
            for key, _ in iter_tasks(job)
            if self.world.state.step(key).is_long_running and key not in running
        ]


class RepeatedCuts(SilentPool):
    """Most VMs are cut off at a time, again and again, and none crashes."""

    async def submit_jobs(self):
        """Submit long-running jobs and finite ones."""
        for number in range(2):
            await self.submit_long_running(f"long{number}")
        await self.submit_finite()

    async def cause_faults(self):
        """Cut off most of the pool at a time."""
        await asyncio.sleep(self.rng.uniform(2, 4))
        for _ in range(N_CUTS):
            n_cut = self.rng.randint(self.n_vms - 2, self.n_vms - 1)
            cut = self.rng.sample(list(self.world.endpoints.values()), n_cut)
            await asyncio.gather(*(self.cut_off(e, CUT_S) for e in cut))
            await asyncio.sleep(self.rng.uniform(MIN_GAP_S, MAX_GAP_S))


class LongCuts(RepeatedCuts):
    """VMs are cut off one after the other, until the leader has removed them."""

    # A new leader keeps a silent VM as long as if it had answered when it took over.
    change_interval_s = (20, 40)

    async def cause_faults(self):
        """Cut off a VM with runs every few seconds, unless only one is left."""
        await asyncio.sleep(self.rng.uniform(2, 4))
        cuts = []
        for _ in range(2 * self.n_vms):
            await asyncio.sleep(self.rng.uniform(2, 5))
            busy = [e for e in self.reachable() if e.runs]
            if busy and len(self.reachable()) > 1:
                duration_s = self.rng.uniform(MIN_LONG_CUT_S, MAX_LONG_CUT_S)
                work = self.cut_off(self.rng.choice(busy), duration_s)
                cuts.append(asyncio.create_task(work))
        await asyncio.gather(*cuts)


class DeadlyTasks(SilentPool):
    """Tasks crash each VM that starts them, and the VMs stay away for long.

    Parameters
    ----------
    restart_s : float or None
        Time from a crash until the new VM reports, in seconds; None if there is none.
    n_deadly : int
        Number of jobs whose first task crashes its VM.
    has_cuts : bool
        Whether other VMs are cut off meanwhile and come back.
    is_dark : bool
        Whether calls to a VM that has crashed get no answer instead of a refusal.
    """

    def __init__(
        self, *args, restart_s, n_deadly=1, has_cuts=False, is_dark=False, **options
    ):
        super().__init__(*args, n_vms=4 + 5 * n_deadly, **options)
        self.restart_s = restart_s
        self.deadly = [f"deadly{number}" for number in range(n_deadly)]
        self.has_cuts = has_cuts
        self.is_dark = is_dark

    def handle_start(self, endpoint, run):
        """Crash an endpoint shortly after it has started a deadly task."""
        super().handle_start(endpoint, run)
        if run.key.job_id in self.deadly and run.key.index == 0:
            loop = asyncio.get_running_loop()
            crash = (self.crash, endpoint, self.restart_s, self.is_dark)
            loop.call_later(CRASH_DELAY_S, *crash)

    async def submit_jobs(self):
        """Submit the deadly jobs and then sound ones."""
        await asyncio.sleep(2)
        for job_id in self.deadly:
            await self.submit(job_id, n_tasks=2, estimate_ms=600)
        await self.submit_finite()

    async def cause_faults(self):
        """Wait until the tasks can be given up, and cut VMs off if asked for."""
        loop = asyncio.get_running_loop()
        until = loop.time() + N_DEADLY_CRASHES * KNOWN_S + (self.restart_s or 0)
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(1, 5))
            if self.has_cuts and len(self.reachable()) > 3:
                cut = self.rng.sample(self.reachable(), 2)
                await asyncio.gather(*(self.cut_off(e, CUT_S) for e in cut))


class Reborn(SilentPool):
    """VMs under one task are cut off, crash meanwhile, and come back as new ones.

    Parameters
    ----------
    n_chosen : int
        Number of VMs that do so.
    restart_s : float
        Time from a crash until the new VM reports, in seconds.
    step : dict
        Options of the step of the task.
    """

    def __init__(self, *args, n_chosen, restart_s, step, **options):
        super().__init__(*args, **options)
        self.n_chosen = n_chosen
        self.restart_s = restart_s
        self.step = step
        job_id = "long" if step.get("is_long_running") else "finite"
        self.key = TaskKey(job_id, 0, 0, 0)

    def handle_start(self, endpoint, run):
        """Cut an endpoint off after it has started the task, and crash it then."""
        super().handle_start(endpoint, run)
        is_chosen = len(self.world.starts[run.key]) <= self.n_chosen
        if run.key == self.key and is_chosen:
            loop = asyncio.get_running_loop()
            loop.call_later(REBORN_CUT_S, setattr, endpoint, "is_partitioned", True)
            loop.call_later(REBORN_CRASH_S, self.crash, endpoint, self.restart_s, True)

    async def submit_jobs(self):
        """Submit the job of the task."""
        await self.submit(self.key.job_id, **self.step)

    async def cause_faults(self):
        """Wait until all crashes are known."""
        await asyncio.sleep(self.n_chosen * KNOWN_S + self.restart_s)
