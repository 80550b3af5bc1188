"""A world of endpoints and leaders that fail, around the real scheduling.

Endpoints keep leases, fences and run numbers as the platform's page says. Orders get
lost, or are carried out seconds later, also after newer ones. Leaders are replaced at
any moment, with proposals on their way. Promises are checked where they can be seen: at
the endpoints.
"""

import asyncio
import itertools
from datetime import timedelta

from redwingslip.jobs import (
    ActiveRun,
    Amounts,
    EndKind,
    ForgetVm,
    JobStatus,
    NoteVm,
    RecordEnds,
    SubmitJob,
    VmRecord,
    iter_tasks,
)
from redwingslip.observe import NullSink, new_metrics
from redwingslip.scheduling import (
    CommandLostError,
    HoldReport,
    LeaderPolicy,
    ListedEnd,
    ListedRun,
    NotLeadingError,
    OrderLostError,
    OrderNotSentError,
    Scheduler,
    StartOutcome,
    StartResult,
)
from redwingslip.settings import MetricsSettings

MS = timedelta(milliseconds=1)
COMMIT_S = 0.005
CALL_S = 0.002
CALL_TIMEOUT_S = 1.0
STOP_S = 0.2
MAX_LEASE_MS = 6_000
CAPACITY = Amounts(4_000, 4_000)
METRICS = new_metrics(MetricsSettings(), process_id="world")


class _Run:
    def __init__(self, key, number, ends_at):
        self.key = key
        self.number = number
        self.ends_at = ends_at


class Endpoint:
    """One life of a VM, with its lease, fence, runs and ends."""

    def __init__(self, world, vm_id, rate):
        self.world = world
        self.vm_id = vm_id
        self.born_ms = next(world.births)
        self.rate = rate
        self.began_at = world.now()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.ended_at = {}
        # Ends up to this number were not taken note of before the lease lapsed.
        self.n_void = 0
        self.is_up = True
        self.is_cut = False
        self.is_draining = False

    def clock_ms(self):
        """Return its own steady clock, which may be slow."""
        return int((self.world.now() - self.began_at) * 1000 * self.rate)

    def record(self):
        """Return what it reports of itself."""
        return VmRecord(
            vm_id=self.vm_id,
            born_ms=self.born_ms,
            machine=f"m-{self.vm_id}",
            pool="p",
            address=f"{self.vm_id}:1",
            capacity=CAPACITY,
            labels=("a", "r1"),
            is_draining=self.is_draining,
        )

    def work(self):
        """End what has finished or whose lease is over."""
        if not self.is_up:
            return
        is_over = self.clock_ms() >= self.until_ms
        if is_over:
            self.n_void = len(self.ends)
        for run in list(self.runs.values()):
            if is_over:
                self._end(run, EndKind.LAPSED)
            elif self.world.now() >= run.ends_at:
                fails = self.world.rng.random() < self.world.failing
                self._end(run, EndKind.FAILED if fails else EndKind.DONE)

    def renew(self, until_ms):
        """Extend the lease as far as it may be."""
        most = self.clock_ms() + MAX_LEASE_MS
        self.until_ms = max(self.until_ms, min(until_ms, most))

    def start(self, run: ActiveRun, fence, until_ms):
        """Carry out the order to start a run."""
        self.work()
        if fence < self.fence:
            return StartResult.SUPERSEDED
        self.fence = fence
        if until_ms < self.clock_ms():
            return StartResult.LATE
        self.renew(until_ms)
        current = self.runs.get(run.key)
        if current is not None and current.number == run.number:
            return StartResult.ACCEPTED
        if current is not None or run.number <= self.closed.get(run.key, 0):
            return StartResult.OLD
        step = self.world.state.step(run.key)
        used = sum(self.world.state.step(key).need.cpu for key in self.runs)
        if used + step.need.cpu > CAPACITY.cpu:
            return StartResult.NO_ROOM
        self.world.check_start(self, run)
        duration = step.estimate_ms / 1000 * self.world.rng.uniform(0.5, 1.5)
        if step.is_long_running:
            duration = 1e9
        ends_at = self.world.now() + duration
        self.runs[run.key] = _Run(run.key, run.number, ends_at)
        return StartResult.ACCEPTED

    def stop(self, key, number, fence):
        """Carry out the order to stop a run."""
        self.work()
        if fence < self.fence:
            return
        self.fence = fence
        self.closed[key] = max(self.closed.get(key, 0), number)
        run = self.runs.get(key)
        if run is not None and run.number <= number:
            self._end(run, EndKind.STOPPED)

    def hold(self, fence, cursor, until_ms):
        """Renew the lease and return the lists."""
        self.work()
        if fence >= self.fence:
            self.fence = fence
            self.world.note_cursor(self, cursor)
            if until_ms is not None:
                self.renew(until_ms)
        return HoldReport(
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            runs=tuple(
                ListedRun(run.key, run.number, "", self.world.percent(run))
                for run in self.runs.values()
            ),
            ends=tuple(end for end in self.ends if end.cursor > cursor),
        )

    def _end(self, run, kind):
        del self.runs[run.key]
        self.closed[run.key] = max(self.closed.get(run.key, 0), run.number)
        end = ListedEnd(len(self.ends) + 1, run.key, run.number, kind)
        self.ends.append(end)
        self.ended_at[end.cursor] = self.world.now()


class Network:
    """The orders' way to the endpoints."""

    def __init__(self, world):
        self.world = world

    async def hold(self, vm, *, fence, cursor, until_ms, wait_ms):
        """Look, and wait for an end if nothing else is there to tell."""
        endpoint = await self._reach(vm, lambda e: e.hold(fence, cursor, until_ms))
        n_ends = len(endpoint.ends)
        until = self.world.now() + wait_ms / 1000
        while self.world.now() < until and len(endpoint.ends) == n_ends:
            await asyncio.sleep(0.05)
            endpoint.work()
        if not endpoint.is_up or endpoint.is_cut:
            raise OrderLostError("no answer")
        return endpoint.hold(fence, cursor, until_ms)

    async def start(self, vm, run, *, payload, ticket, fence, until_ms):
        """Order a start."""
        results = []
        endpoint = await self._reach(
            vm, lambda e: results.append(e.start(run, fence, until_ms))
        )
        return StartOutcome(results[0], endpoint.clock_ms())

    async def stop(self, vm, key, number, *, fence):
        """Order a stop."""
        await self._reach(vm, lambda e: e.stop(key, number, fence))

    async def _reach(self, vm, order):
        """Have an order carried out, or lose it or its answer."""
        await asyncio.sleep(CALL_S)
        endpoint = self.world.endpoints.get(vm.vm_id)
        if endpoint is None or not endpoint.is_up:
            raise OrderNotSentError("refused")
        rng = self.world.rng
        if endpoint.is_cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OrderLostError("no answer")
        if rng.random() < self.world.losing:
            if rng.random() < 0.7:
                delay = rng.choice((0, rng.uniform(2, 12)))
                asyncio.get_running_loop().call_later(
                    delay, self._carry_out_late, endpoint, order
                )
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OrderLostError("no answer")
        order(endpoint)
        return endpoint

    def _carry_out_late(self, endpoint, order):
        if endpoint.is_up:
            order(endpoint)


class WorldTerm:
    """One leadership over the world's state."""

    def __init__(self, world, fence):
        self.world = world
        self.state = world.state
        self.clock = world.clock
        self.since = world.clock.monotonic()
        self.fence = fence
        self.events = NullSink()
        self.metrics = METRICS
        self.is_over = False

    def is_leading(self):
        """Return whether it has not been replaced."""
        return not self.is_over

    def now_ms(self):
        """Return Unix time."""
        return int(self.world.now() * 1000) + 1

    async def propose(self, command):
        """Commit a command; one on its way at the end may be lost or not."""
        if self.is_over:
            raise NotLeadingError("over")
        await asyncio.sleep(COMMIT_S)
        if self.is_over:
            raise CommandLostError("over")
        return self.world.apply(command)

    async def propose_or_log(self, command):
        """Commit a command, or give up."""
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandLostError):
            return None

    async def record_ends(self, vm, ends, cursor):
        """Record ends."""
        await self.propose_or_log(
            RecordEnds(
                vm_id=vm.vm_id,
                born_ms=vm.born_ms,
                ends=ends,
                now_ms=self.now_ms(),
                cursor=cursor,
            )
        )

    async def forget_vm(self, vm, reason):
        """Drop a life."""
        await self.propose_or_log(
            ForgetVm(vm_id=vm.vm_id, born_ms=vm.born_ms, now_ms=self.now_ms())
        )

    def emit(self, name, **fields):
        """Do nothing."""


class NoPlatform:
    """A platform without machines to move."""

    async def list_machines(self):
        """Return nothing."""
        return ()


class World:
    """Endpoints, leaders and jobs; what goes wrong is drawn from a seed."""

    def __init__(self, loop, rng, clock, state, *, n_vms=4):
        self.rng = rng
        self.clock = clock
        self.state = state
        self._loop = loop
        self.births = itertools.count(1)
        self.losing = 0.0
        self.failing = 0.0
        self.problems = []
        self.done = set()
        self.starts = {}
        self.fence = 0
        self.term = None
        self.scheduler = None
        self.endpoints = {}
        for number in range(n_vms):
            self.give_birth(f"v{number}")

    def now(self):
        """Return the time in seconds."""
        return self._loop.time()

    def percent(self, run):
        """Return how far a run is; each look sees it move."""
        if self.state.step(run.key).is_long_running:
            return 100
        return min(99, self.now() * 10 % 99)

    def give_birth(self, vm_id):
        """Begin a life under a name."""
        rate = self.rng.choice((1.0, 0.99, 0.98))
        self.endpoints[vm_id] = Endpoint(self, vm_id, rate)

    def apply(self, command):
        """Apply a committed command, and tell the leader."""
        outcome = self.state.apply(command)
        if self.scheduler is not None and not self.term.is_over:
            self.scheduler.applied(command, outcome)
        return outcome

    def lead(self):
        """Begin a leadership."""
        self.fence += 1
        self.term = WorldTerm(self, self.fence)
        self.scheduler = Scheduler(
            term=self.term,
            orders=Network(self),
            operations=NoPlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )
        self.scheduler.begin()

    def depose(self):
        """End the leadership; its orders on their way may still arrive."""
        if self.term is not None:
            self.term.is_over = True
            self.scheduler.close()

    async def report(self, endpoint):
        """Have an endpoint's report stored, if there is a leader."""
        vm = endpoint.record()
        known = self.state.vms.get(vm.vm_id)
        is_known = known is not None and known.born_ms == vm.born_ms
        if is_known and known.is_draining == vm.is_draining:
            return
        await self.term.propose_or_log(NoteVm(vm=vm, now_ms=self.term.now_ms()))

    async def submit(self, spec):
        """Hand a job in until it is stored."""
        while spec.job_id not in self.state.jobs:
            command = SubmitJob(spec=spec, now_ms=self.term.now_ms())
            await self.term.propose_or_log(command)
            await asyncio.sleep(0.2)

    def note_cursor(self, endpoint, cursor):
        """Take note of the ends that a leader acknowledges."""
        for end in endpoint.ends[endpoint.n_void : cursor]:
            if end.kind is not EndKind.DONE or end.key in self.done:
                continue
            self.done.add(end.key)
            ended_at = endpoint.ended_at[end.cursor]
            is_late = any(at > ended_at for at in self.starts[end.key])
            if is_late and not self.state.step(end.key).is_speculative:
                self._report(f"{end.key.label(end.number)} was done before a start")

    def check_start(self, endpoint, run):
        """Check the promises at the start of a run."""
        step = self.state.step(run.key)
        label = run.key.label(run.number)
        for other in self.endpoints.values():
            other.work()
            is_there = other.is_up and other is not endpoint and run.key in other.runs
            if is_there and not step.is_speculative:
                self._report(f"{label} runs twice: {endpoint.vm_id}, {other.vm_id}")
        if run.key in self.done and not step.is_speculative:
            self._report(f"{label} was done")
        self.starts.setdefault(run.key, []).append(self.now())
        job = self.state.jobs[run.key.job_id]
        for number in step.after:
            if not all(t.is_done for t in job.tasks[run.key.occurrence][number]):
                self._report(f"{label} before step {number}")
        if run.key not in self._tasks(job):
            self._report(f"{label} is nobody's")

    def _tasks(self, job):
        return {key for key, _ in iter_tasks(job)}

    def _report(self, problem):
        self.problems.append(f"{self.now():.2f} s, leader {self.fence}: {problem}")

    def unfinished(self):
        """Return the jobs that should have ended."""
        return [
            job_id
            for job_id, job in self.state.jobs.items()
            if job.status in (JobStatus.QUEUED, JobStatus.RUNNING)
            and not any(step.is_long_running for step in job.spec.steps)
        ]
