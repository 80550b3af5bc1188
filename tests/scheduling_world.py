"""A world of endpoints and leaders that fail, around the real scheduling.

Leaders are replaced at any moment, with proposals on their way. Promises are checked
where they can be seen: at the endpoints.
"""

import asyncio
import itertools
from datetime import timedelta

from redwingslip.jobs import (
    EndKind,
    ForgetVm,
    JobStatus,
    NoteVm,
    RecordEnds,
    SubmitJob,
    iter_tasks,
)
from redwingslip.observe import NullSink, new_metrics
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    LeaderPolicy,
    NotLeadingError,
    Scheduler,
)
from redwingslip.settings import MetricsSettings
from tests.scheduling_endpoints import Endpoint, Network

MS = timedelta(milliseconds=1)
COMMIT_S = 0.005
METRICS = new_metrics(MetricsSettings(), process_id="world")


class WorldTerm:
    """One leadership over the world's state."""

    def __init__(self, world, fence):
        self.world = world
        self.state = world.state
        self.clock = world.clock
        self.started_at = world.clock.monotonic()
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
            raise CommandOutcomeUnknownError("over")
        return self.world.apply(command)

    async def propose_or_log(self, command):
        """Commit a command, or give up."""
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandOutcomeUnknownError):
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
        self.incarnations = itertools.count(1)
        self.loss_rate = 0.0
        self.failure_rate = 0.0
        self.problems = []
        self.done = set()
        self.starts = {}
        self.fence = 0
        self.term = None
        self.scheduler = None
        self.endpoints = {}
        for number in range(n_vms):
            self.start_endpoint(f"v{number}")

    def now(self):
        """Return the time in seconds."""
        return self._loop.time()

    def percent(self, run):
        """Return how far a run is; each look sees it move."""
        if self.state.step(run.key).is_long_running:
            return 100
        return min(99, self.now() * 10 % 99)

    def start_endpoint(self, vm_id):
        """Begin a life under a name."""
        rate = self.rng.choice((1.0, 0.99, 0.98))
        self.endpoints[vm_id] = Endpoint(self, vm_id, rate)

    def apply(self, command):
        """Apply a committed command, and tell the leader."""
        outcome = self.state.apply(command)
        if self.scheduler is not None and not self.term.is_over:
            self.scheduler.applied(command, outcome)
        return outcome

    def start_leader(self):
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

    def stop_leader(self):
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

    def record_acknowledged(self, endpoint, cursor):
        """Take note of the ends that a leader acknowledges."""
        for end in endpoint.ends[endpoint.n_discarded : cursor]:
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
            other.update()
            is_running = other.is_up and other is not endpoint and run.key in other.runs
            if is_running and not step.is_speculative:
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
