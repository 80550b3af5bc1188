"""Rounds of placement: which waiting tasks start on which VMs."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..jobs import RunRecord, RunStart, TaskKey
from ..observe import EventName
from ..placement import CandidateVm, Placer, Urgency, WaitingTask
from ._advice import AdviceCache
from ._candidates import CandidateVms
from ._job_index import LONG_RUNNING_BAND, JobIndex, PoolBacklog
from ._locality import RackLocality
from ._machines import MachineRegistry
from ._preemption import Preemption
from ._recall import recall_machine
from ._speeds import VmSpeeds
from ._term import Term
from ._ticket_places import TicketPlaces
from ._wait_reasons import describe_pool

__all__ = [
    "MAX_FIRST_START_WAIT",
    "MAX_ISOLATION_WAIT",
    "MAX_RESTART_WAIT",
    "PlacementRounds",
]

# An idle machine joins a pool within this time, so that a task waits longer only if
# there is none. Callers count work as lost that does not start for 3 s while there is
# room for it (platform contract).
MAX_ISOLATION_WAIT = timedelta(milliseconds=2500)
# A machine that was switched off joins a pool within this time, so that a new
# long-running task starts on a VM that suits it.
MAX_FIRST_START_WAIT = timedelta(seconds=2)
# A long-running task that has run counts as lost when it is away for 9 s while there is
# room for it (platform contract). The lease of a silent VM takes most of that time.
MAX_RESTART_WAIT = timedelta(milliseconds=500)
# Time between two log entries on a long-running task that waits.
WAIT_REPORT_INTERVAL = timedelta(seconds=3)


class PlacementRounds:
    """Places waiting tasks on VMs, and keeps the backlog of those that do not fit.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines; claimed ones get no runs. The claim on one gives way
        to a long-running task that has waited and has no other VM.
    job_index : JobIndex
        Index of the waiting tasks.
    advice : AdviceCache
        Tickets for queues whose VMs need one.
    locality : RackLocality or None
        Estimates for waits for racks; None if no task waits for one.
    speeds : VmSpeeds or None
        Learned speeds of VMs; None if all count as equally fast.

    Attributes
    ----------
    ticket_places : TicketPlaces
        Places that are kept for tasks which leave their machines.
    backlog : dict of str to PoolBacklog
        Tasks that found no VM in the last round, by pool.
    """

    __slots__ = (
        "_advice",
        "_candidates",
        "_failed_jobs",
        "_job_index",
        "_locality",
        "_machines",
        "_preemption",
        "_recalled_pools",
        "_reserved",
        "_speeds",
        "_state",
        "_term",
        "_wait_reported_at",
        "_waiting_since",
        "backlog",
        "ticket_places",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        job_index: JobIndex,
        advice: AdviceCache,
        locality: RackLocality | None = None,
        speeds: VmSpeeds | None = None,
    ) -> None:
        self._term = term
        self._state = term.state
        self._machines = machines
        self._job_index = job_index
        self._advice = advice
        self._locality = locality
        self._speeds = speeds
        self._candidates = CandidateVms(term, machines, speeds=speeds)
        # Jobs whose placement failed with an error that was logged.
        self._failed_jobs: set[str] = set()
        # Monotonic times since which isolated and long-running tasks wait.
        self._waiting_since: dict[TaskKey, timedelta] = {}
        self._wait_reported_at: dict[TaskKey, timedelta] = {}
        self._recalled_pools: set[str] = set()
        self._preemption: Preemption | None = None
        self._reserved: Mapping[TaskKey, str] = {}
        self.ticket_places = TicketPlaces(
            term=term, machines=machines, job_index=job_index, advice=advice
        )
        self.backlog: dict[str, PoolBacklog] = {}

    def decide(self) -> tuple[RunStart, ...]:
        """Run one round and return the runs to start."""
        if self._speeds is not None:
            self._speeds.update()
        jobs = self._job_index.waiting(self._term.now_ms(), self._is_silent)
        self.backlog.clear()
        self._recalled_pools.clear()
        self._note_waiting(task for _, tasks in jobs for task in tasks)
        self._note_left_out()
        if not jobs and self._locality is None:
            return ()
        removed = self._state.removed.customers.values()
        customers = (*removed, *self._state.plan.customers)
        pools = {tasks[0].pool for _, tasks in jobs}
        vms = self._candidates.by_pool(pools)
        self._reserved = self.ticket_places.hold(vms)
        waits = (
            None if self._locality is None else self._locality.begin_round(jobs, vms)
        )
        placer = Placer(
            pools=vms,
            usage=self._state.usage.of_customers(),
            limits={customer.name: customer.limit for customer in customers},
            rack_waits=waits,
        )
        self._preemption = Preemption(
            self._state,
            self._machines,
            now=self._term.clock.monotonic(),
            now_ms=self._term.now_ms(),
        )
        starts: list[RunStart] = []
        for urgency, tasks in jobs:
            try:
                starts.extend(self._place_job(placer, urgency, tasks, vms))
            except Exception as exc:
                self._report_failure(tasks[0].key.job_id, exc)
        if waits is not None:
            self._locality.end_round(waits, starts)
        if self._speeds is not None:
            self._speeds.note_starts(starts)
        return tuple(starts)

    def _report_failure(self, job_id: str, exc: Exception) -> None:
        """Log, once for each job, that the placement of its tasks fails."""
        if job_id not in self._failed_jobs:
            self._failed_jobs.add(job_id)
            detail = f"the job can't be placed: {exc!r}"
            self._term.emit(EventName.WARNING, request_id=job_id, detail=detail)

    def _note_waiting(self, tasks: Iterable[WaitingTask]) -> None:
        """Keep the times since which isolated and long-running tasks wait.

        A gang never needs less than VMs for all its tasks.
        """
        now = self._term.clock.monotonic()
        waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if self._is_starting(key) or self._is_left_out(key)
        }
        for task in tasks:
            is_long_running = task.step.is_long_running and not task.step.is_gang
            if task.is_isolated or is_long_running:
                waiting_since[task.key] = self._waiting_since.get(task.key, now)
        self._waiting_since = waiting_since
        for key in self._wait_reported_at.keys() - self._waiting_since.keys():
            del self._wait_reported_at[key]

    def _note_left_out(self) -> None:
        """Add tasks that this round leaves out to the backlog of their pools."""
        for job_id, cpu in self._job_index.left_out.items():
            pool = self._job_index.pool_of(self._state.jobs[job_id])
            self.backlog.setdefault(pool, PoolBacklog()).cpu += cpu

    def _is_starting(self, key: TaskKey) -> bool:
        """Return whether a long-running task has a run that is not at work yet.

        Its users still wait, and the run may come to nothing. A task under which a VM
        has crashed looks for a VM without others each time.
        """
        task = self._state.task(key)
        if task is None or not task.runs or task.n_suspected_crashes:
            return False
        if not self._state.step(key).is_long_running:
            return False
        return not any(run.is_at_work for run in task.runs)

    def _is_left_out(self, key: TaskKey) -> bool:
        """Return whether a task waits, and this round may leave it out."""
        if key.job_id not in self._job_index.left_out:
            return False
        task = self._state.task(key)
        return task is not None and not task.is_done and not task.runs

    def _report_wait(self, task: WaitingTask, *, is_within_limit: bool) -> None:
        """Log, once in each `WAIT_REPORT_INTERVAL`, why a long-running task waits."""
        since = self._waiting_since.get(task.key)
        if since is None or not task.step.is_long_running:
            return
        now = self._term.clock.monotonic()
        reported_at = max(since, self._wait_reported_at.get(task.key, since))
        if now - reported_at < WAIT_REPORT_INTERVAL:
            return
        self._wait_reported_at[task.key] = now
        reason = "its customer is at its limit"
        if is_within_limit:
            reasons = describe_pool(
                task, state=self._state, machines=self._machines, now=now
            )
            reason = f"VMs of {task.pool}: {reasons}"
        waited = (now - since).total_seconds()
        self._term.emit(
            EventName.TASK_WAITING,
            request_id=task.key.job_id,
            detail=f"{task.key.label(self._state.task(task.key).n_runs)} "
            f"has waited for {waited:.1f} s; {reason}",
        )

    def _has_waited(self, placer: Placer, task: WaitingTask) -> bool:
        """Return whether a task need not wait longer for a VM that suits it better.

        An isolated one does not if most of its pool is free. A long-running one is away
        from its users meanwhile.
        """
        since = self._waiting_since.get(task.key)
        if since is None:
            return False
        waited = self._term.clock.monotonic() - since
        if task.step.is_long_running:
            has_run = self._state.task(task.key).n_runs > 0
            return waited >= (MAX_RESTART_WAIT if has_run else MAX_FIRST_START_WAIT)
        return waited >= MAX_ISOLATION_WAIT and placer.is_underused(task.pool)

    def _is_silent(self, run: RunRecord) -> bool:
        """Return whether a run's VM is unknown or has not answered recently."""
        agent = self._machines.agents.get(run.vm_id)
        if agent is None:
            return True
        return not agent.lease.is_in_contact(self._term.clock.monotonic())

    def _place_job(
        self,
        placer: Placer,
        urgency: Urgency,
        tasks: list[WaitingTask],
        vms: Mapping[str, list[CandidateVm]],
    ) -> list[RunStart]:
        starts: list[RunStart] = []
        steps: dict[tuple, list[WaitingTask]] = {}
        if self._waiting_since:
            for task in tasks:
                task.has_waited = self._has_waited(placer, task)
            # The first task of a step that finds no VM holds up those after it, so that
            # tasks that take more VMs go before the others.
            tasks = sorted(tasks, key=lambda task: not task.has_waited)
        for task in tasks:
            reserved = self._reserved.get(task.key, "")
            group = (task.key[:3], task.has_waited, reserved)
            steps.setdefault(group, []).append(task)
        if self._speeds is not None:
            self._speeds.set_min_speeds(urgency, tasks)
        needs_advice = self._job_index.needs_advice(tasks[0].key.job_id)
        for (step_key, _, reserved), step_tasks in steps.items():
            if needs_advice:
                tickets = self._advice.tickets(step_key)
                if reserved in tickets:
                    tickets = {reserved: tickets[reserved]}
                for task in step_tasks:
                    task.allowed = tickets
                    if reserved:
                        pool = vms.get(task.pool, [])
                        self.ticket_places.release(task.key, reserved, pool)
            placed = placer.place_step(step_tasks)
            starts.extend(placed)
            n_deferred = sum(placer.is_deferred(task) for task in step_tasks)
            unplaced = step_tasks[len(placed) + n_deferred :]
            # Neither capacity nor preemption helps a customer that is at its limit.
            if not unplaced:
                continue
            first = unplaced[0]
            is_within_limit = placer.is_within_limit(first.customer, first.step.need)
            self._report_wait(first, is_within_limit=is_within_limit)
            if is_within_limit:
                if first.is_isolated:
                    placer.reserve_vm(first)
                self._handle_unplaced(
                    placer, unplaced, urgency, needs_advice=needs_advice
                )
        return starts

    def _handle_unplaced(
        self,
        placer: Placer,
        tasks: list[WaitingTask],
        urgency: Urgency,
        *,
        needs_advice: bool,
    ) -> None:
        """Add unplaced tasks to the backlog; request tickets or preempt runs."""
        task = tasks[0]
        backlog = self.backlog.setdefault(task.pool, PoolBacklog())
        cpu = len(tasks) * task.step.need.cpu
        backlog.cpu += cpu
        if urgency.band == LONG_RUNNING_BAND:
            backlog.long_running_cpu += cpu
        if not task.has_conditions and not task.step.is_gang:
            backlog.needs.add(task.step.reserved)
        if task.step.max_per_vm or task.step.disruption_budget:
            backlog.n_vms = max(backlog.n_vms, len(tasks))
        if needs_advice:
            is_urgent = task.step.is_long_running
            self._advice.request(task.key[:3], task.pool, is_urgent=is_urgent)
        if task.is_isolated:
            backlog.n_vms = max(backlog.n_vms, 1)
            if not task.takes_any_vm:
                # Stopping some runs does not help a task that needs a VM without any.
                return
        if urgency.band == LONG_RUNNING_BAND and not task.step.is_gang:
            # For tasks that have not waited, machines may join the pool meanwhile.
            for each in tasks if task.has_waited else tasks[:1]:
                if not self._make_room_for(placer, each):
                    break

    def _make_room_for(self, placer: Placer, task: WaitingTask) -> bool:
        """Make room for a long-running task; return whether it will find some at once.

        A gang is stopped only if no machine can be recalled.
        """
        if self._preempt_runs_for(placer, task):
            return True
        if not task.takes_any_vm or self._recall_machine_for(task):
            return False
        return self._preempt_runs_for(placer, task, with_gangs=True)

    def _recall_machine_for(self, task: WaitingTask) -> bool:
        """Have a machine given back that a long-running task can't do without.

        The claim may last as long as the task waits: a machine is maintained only when
        enough tasks of its steps are at work elsewhere. One machine of a pool is
        recalled in a round; it may have room for several tasks.
        """
        if task.pool in self._recalled_pools:
            return True
        vm_id = recall_machine(task, term=self._term, machines=self._machines)
        if vm_id is not None:
            detail = f"its claim gives way to a task of {task.key.job_id}"
            self._term.emit(
                EventName.MACHINE_RECALLED,
                request_id=task.key.job_id,
                vm=vm_id,
                detail=detail,
            )
            self._recalled_pools.add(task.pool)
        return vm_id is not None

    def _preempt_runs_for(
        self, placer: Placer, task: WaitingTask, *, with_gangs: bool = False
    ) -> bool:
        """Stop less urgent runs to free capacity for a long-running task.

        Return whether it will find room. The room becomes free in parts, and is kept.
        """
        room = self._preemption.make_room(task, with_gangs=with_gangs)
        if room is None:
            return False
        placer.keep_room(task, room.vm_id)
        for agent, run in room.victims:
            self._term.emit(
                EventName.RUN_PREEMPTED,
                request_id=run.key.job_id,
                vm=run.vm_id,
                detail=f"{run.key.label(run.number)} for a task of {task.key.job_id}",
            )
            agent.stop(run.key, run.number)
        return True

    def candidates(self, pool: str) -> tuple[str, ...]:
        """Return the VMs of a pool that accept runs, those with most free CPU first."""
        return self._candidates.most_free(pool)
