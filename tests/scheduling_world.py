"""Simulated endpoints and leaders that fail, around the real scheduling.

Leaders are replaced at any moment, with proposals in flight. Guarantees are checked at
the endpoints, where a breach of one has its effect.
"""

import asyncio
import itertools
import random
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
# Platform contract: a copy may still start this long after another run was done.
COPY_GRACE_S = 1.0
# A leader looks at a task before it stops another of its step, and may act on that for
# this long.
KNOWN_S = 0.3
METRICS = new_metrics(MetricsSettings(), process_id="world")


class WorldTerm:
    """The term of one leader, over the state of the world."""

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
        """Return whether the term has not ended."""
        return not self.is_over

    def now_ms(self):
        """Return Unix time."""
        return int(self.world.now() * 1000) + 1

    async def propose(self, command):
        """Commit a command; one that is in flight when the term ends is not applied."""
        if self.is_over:
            raise NotLeadingError("the term has ended")
        await self.world.wait_for_commit()
        if self.is_over:
            raise CommandOutcomeUnknownError("the term has ended")
        return self.world.apply(command)

    async def propose_or_log(self, command):
        """Commit a command; return None if the term has ended."""
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandOutcomeUnknownError):
            return None

    async def record_ends(self, vm, ends, cursor, *, is_silent=False):
        """Commit ends of runs."""
        await self.propose_or_log(
            RecordEnds(
                vm_id=vm.vm_id,
                born_ms=vm.born_ms,
                ends=ends,
                now_ms=self.now_ms(),
                cursor=cursor,
                is_silent=is_silent,
            )
        )

    async def forget_vm(self, vm, reason, *, has_crashed=False, is_silent=False):
        """Remove an incarnation of a VM."""
        await self.propose_or_log(
            ForgetVm(
                vm_id=vm.vm_id,
                born_ms=vm.born_ms,
                now_ms=self.now_ms(),
                has_crashed=has_crashed,
                is_silent=is_silent,
            )
        )

    def emit(self, name, **fields):
        """Do nothing."""


class NoPlatform:
    """A platform without machines."""

    async def list_machines(self):
        """Return no machines."""
        return ()


class World:
    """Endpoints, leaders and jobs; faults are drawn from a seeded generator.

    Attributes
    ----------
    loss_rate : float
        Probability that an order or its answer is lost.
    failure_rate : float
        Probability that a run fails.
    checks_incarnations : bool
        Whether the calls of leaders reach only the incarnation that they name, as the
        client of the endpoints guarantees.
    problems : list of str
        Breaches of a guarantee.
    done : dict of TaskKey to float
        Times at which a leader first acknowledged the success of a task.
    starts : dict
        Start times of the runs of each task.
    on_start : callable
        Called with the endpoint and the run at each start.
    on_stop : callable
        Called with the endpoint and the task before an order stops a run.
    operations : MachineOperations
        Client of the platform that leaders use.
    adviser : Adviser or None
        Client of the service that grants tickets; None if no VM needs one.
    max_commit_s : float
        Longest duration of a commit; each one is drawn.
    start_up_s : float
        Time that a long-running run takes until it is at work.
    crashed_at : dict of TaskKey to float
        Times at which the VMs of tasks crashed, as far as a history records them.
    """

    def __init__(self, loop, rng, clock, state, *, n_vms=4):
        self.rng = rng
        self.clock = clock
        self.state = state
        self._loop = loop
        self.incarnations = itertools.count(1)
        self.max_commit_s = COMMIT_S
        self.start_up_s = 0.0
        self.crashed_at = {}
        self._commits_rng = random.Random(0)
        self._last_commit_at = 0.0
        self.loss_rate = 0.0
        self.failure_rate = 0.0
        self.checks_incarnations = True
        self.problems = []
        self.done = {}
        self.starts = {}
        self.on_start = lambda endpoint, run: None
        self.on_stop = lambda endpoint, key: None
        self.operations = NoPlatform()
        self.adviser = None
        self.fence = 0
        self.term = None
        self.scheduler = None
        self.endpoints = {}
        for number in range(n_vms):
            self.start_endpoint(f"v{number}")

    def now(self):
        """Return the time in seconds."""
        return self._loop.time()

    async def wait_for_commit(self):
        """Wait for the time that a commit takes; commits end in their order."""
        duration_s = self._commits_rng.uniform(COMMIT_S, self.max_commit_s)
        ends_at = max(self.now() + duration_s, self._last_commit_at + 1e-6)
        self._last_commit_at = ends_at
        await asyncio.sleep(ends_at - self.now())

    def percent(self, run):
        """Return the progress of a run; it changes, so that no run is stalled."""
        if not self.state.step(run.key).is_long_running:
            return min(99, self.now() * 10 % 99)
        elapsed_s = self.now() - self.starts[run.key][-1]
        return 100 if elapsed_s >= self.start_up_s else 99 * elapsed_s / self.start_up_s

    def is_at_work(self, key):
        """Return whether a long-running task is at work, or was until just now."""
        if self.now() - self.crashed_at.get(key, -KNOWN_S) < KNOWN_S:
            return True
        return any(
            key in endpoint.runs and self.percent(endpoint.runs[key]) == 100
            for endpoint in self.endpoints.values()
            if endpoint.is_up and not endpoint.is_partitioned
        )

    def check_budgets(self, endpoint, keys):
        """Check the disruption budgets as an order ends tasks on an endpoint."""
        for step_key in {key[:3] for key in keys}:
            ended = {key for key in keys if key[:3] == step_key}
            budget = self.state.step(next(iter(ended))).disruption_budget
            n_away = sum(
                not self.is_at_work(key)
                for key in self._tasks(self.state.jobs[step_key[0]])
                if key[:3] == step_key and key not in ended
            )
            if budget and n_away + len(ended) > budget:
                self.report_problem(
                    f"{len(ended)} tasks of {step_key} are ended on "
                    f"{endpoint.vm_id} while {n_away} are away, of {budget} at most"
                )

    def start_endpoint(self, vm_id):
        """Start a new incarnation of a VM."""
        rate = self.rng.choice((1.0, 0.99, 0.98))
        self.endpoints[vm_id] = Endpoint(self, vm_id, rate)

    def apply(self, command):
        """Apply a committed command, and pass it to the leader."""
        outcome = self.state.apply(command)
        if self.scheduler is not None and not self.term.is_over:
            self.scheduler.applied(command, outcome)
        return outcome

    def start_leader(self):
        """Start the next term with a new leader."""
        self.fence += 1
        self.term = WorldTerm(self, self.fence)
        self.scheduler = Scheduler(
            term=self.term,
            orders=Network(self),
            operations=self.operations,
            adviser=self.adviser,
            cfg=LeaderPolicy(),
        )
        self.scheduler.begin()

    def stop_leader(self):
        """End the term; orders in flight may still arrive."""
        if self.term is not None:
            self.term.is_over = True
            self.scheduler.close()

    async def report(self, endpoint):
        """Commit an endpoint's report if it contains a change and there is a leader."""
        vm = endpoint.record()
        known = self.state.vms.get(vm.vm_id)
        is_known = known is not None and known.born_ms == vm.born_ms
        is_changed = is_known and known.capacity != vm.capacity
        if is_known and known.is_draining == vm.is_draining and not is_changed:
            return
        await self.term.propose_or_log(NoteVm(vm=vm, now_ms=self.term.now_ms()))

    async def submit(self, spec):
        """Submit a job until it is committed."""
        while spec.job_id not in self.state.jobs:
            command = SubmitJob(spec=spec, now_ms=self.term.now_ms())
            await self.term.propose_or_log(command)
            await asyncio.sleep(0.2)

    def record_acknowledged(self, endpoint, cursor):
        """Record the ends that a leader acknowledges, and check them."""
        for end in endpoint.ends[endpoint.n_discarded : cursor]:
            if end.kind is not EndKind.DONE or end.key in self.done:
                continue
            self.done[end.key] = self.now()
            ended_at = endpoint.ended_at[end.cursor]
            is_late = any(at > ended_at for at in self.starts[end.key])
            if is_late and not self.state.step(end.key).is_speculative:
                self.report_problem(
                    f"{end.key.label(end.number)} was done before a start"
                )

    def check_start(self, endpoint, run):
        """Check the guarantees at the start of a run."""
        step = self.state.step(run.key)
        label = run.key.label(run.number)
        for other in self.endpoints.values():
            other.update()
            is_running = other.is_up and other is not endpoint and run.key in other.runs
            if is_running and not step.is_speculative:
                self.report_problem(
                    f"{label} runs twice: {endpoint.vm_id}, {other.vm_id}"
                )
        self._check_not_done(endpoint, run)
        self.starts.setdefault(run.key, []).append(self.now())
        job = self.state.jobs[run.key.job_id]
        for number in step.after:
            if not all(t.is_done for t in job.tasks[run.key.occurrence][number]):
                self.report_problem(f"{label} starts before the end of step {number}")
        if run.key not in self._tasks(job):
            self.report_problem(f"{label} starts for a task of no job")
        self.on_start(endpoint, run)

    def _check_not_done(self, endpoint, run):
        """Check that a task does not start again after it was done.

        A copy of a speculative task may start within the grace period, or by an order
        that was delivered late.
        """
        done_at = self.done.get(run.key)
        if done_at is None:
            return
        is_copy = self.state.step(run.key).is_speculative
        is_recent = self.now() - done_at <= COPY_GRACE_S
        if not is_copy or not (is_recent or endpoint.is_order_late):
            self.report_problem(f"{run.key.label(run.number)} starts after it was done")

    def _tasks(self, job):
        return {key for key, _ in iter_tasks(job)}

    def report_problem(self, problem):
        """Record a breach of a guarantee."""
        self.problems.append(f"{self.now():.2f} s, leader {self.fence}: {problem}")

    def unfinished(self):
        """Return the active jobs without long-running tasks."""
        return [
            job_id
            for job_id, job in self.state.jobs.items()
            if job.status in (JobStatus.QUEUED, JobStatus.RUNNING)
            and not any(step.is_long_running for step in job.spec.steps)
        ]
