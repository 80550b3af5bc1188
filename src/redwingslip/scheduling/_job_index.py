"""The leader's index of waiting tasks, in the order in which they are placed."""

from bisect import bisect_right
from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from ..jobs import (
    ACTIVE_STATUSES,
    NO_AMOUNTS,
    Amounts,
    JobRecord,
    JobSpec,
    JobsState,
    RunRecord,
    StepSpec,
    TaskKey,
    TaskRecord,
    is_isolated,
    is_quarantined,
)
from ..placement import Urgency, WaitingTask

__all__ = [
    "LONG_RUNNING_BAND",
    "ON_TIME_ESTIMATE_SHARE",
    "JobIndex",
    "PoolBacklog",
    "critical_path_ms",
    "non_preemptible_need",
]

LONG_RUNNING_BAND, ON_TIME_BAND, LATE_BAND, USELESS_BAND = 0, 1, 2, 3
# The objective of a job is the time from its acceptance to its deadline. After this
# many times its objective, its result is of no use to its caller (platform contract).
# The job still runs, after all others.
USELESS_AFTER_OBJECTIVES = 3
# Estimates are rough (platform contract): a job counts as late only when this share of
# the estimated critical path of its open steps does not fit before its deadline.
ON_TIME_ESTIMATE_SHARE = 0.7
# Tasks of a job in one round of placement; more would delay the heartbeats of the log.
MAX_TASKS_IN_ROUND = 2_000


class PoolBacklog(msgspec.Struct):
    """Tasks that found no VM in a pool.

    Attributes
    ----------
    cpu : int
        CPU that these tasks need, in thousandths of a core.
    long_running_cpu : int
        Part of it that jobs with long-running tasks need.
    n_vms : int
        VMs needed by tasks that may not share a VM with others of their step: the
        largest number of unplaced tasks of one such step.
    needs : set of Amounts
        What single tasks need that no VM has free. Tasks with further conditions, and
        gangs, don't count.
    """

    cpu: int = 0
    long_running_cpu: int = 0
    n_vms: int = 0
    needs: set[Amounts] = msgspec.field(default_factory=set)


class JobIndex:
    """Index of active jobs, their waiting tasks and the VMs on which tasks failed.

    Parameters
    ----------
    state : JobsState
        The replicated state.

    Attributes
    ----------
    turns : mapping of str to int
        By job, its turn in `Urgency`.
    new_turns : mapping of (str, str) to int
        By pool and customer, the turn of jobs that are missing in `turns`, if not 0.
    changed : set of str or None
        Receives the ids of the jobs that change; None if nobody takes them.
    left_out : dict of str to int
        By job of which the last round had only a part, the CPU in thousandths of a core
        that its other waiting tasks need.
    """

    __slots__ = (
        "_active",
        "_failed_on",
        "_last_keys",
        "_long_running",
        "_paths_ms",
        "_queues",
        "_state",
        "_waiting",
        "_waiting_cpu",
        "changed",
        "left_out",
        "new_turns",
        "turns",
    )

    def __init__(self, state: JobsState) -> None:
        self._state = state
        self.turns: Mapping[str, int] = {}
        self.new_turns: Mapping[tuple[str, str], int] = {}
        self.changed: set[str] | None = None
        self.update_plan()
        # Active jobs, and whether any of their steps is speculative.
        self._active: dict[str, bool] = {
            job_id: _is_speculative(job)
            for job_id, job in state.jobs.items()
            if job.status in ACTIVE_STATUSES
        }
        self._waiting: dict[str, list[TaskKey]] = {}
        self.left_out: dict[str, int] = {}
        # The last task of the last round, by job of which a round has only a part.
        self._last_keys: dict[str, TaskKey] = {}
        # Whether any step is long-running, by job.
        self._long_running: dict[str, bool] = {}
        # Estimated critical paths, of all steps and of the open ones, by job.
        self._paths_ms: dict[str, tuple[int, int]] = {}
        # CPU that all waiting tasks need, by job of which a round has only a part.
        self._waiting_cpu: dict[str, int] = {}
        self._failed_on: dict[TaskKey, set[str]] = {}

    def update_plan(self) -> None:
        """Read the queues of a new plan, and the removed ones."""
        queues = (*self._state.plan.queues, *self._state.removed.queues.values())
        self._queues = {queue.name: queue for queue in queues}

    def refresh_job(self, job_id: str) -> None:
        """Update the entries of a job after a change of its state."""
        self._waiting.pop(job_id, None)
        self._waiting_cpu.pop(job_id, None)
        self._paths_ms.pop(job_id, None)
        if self.changed is not None:
            self.changed.add(job_id)
        job = self._state.jobs.get(job_id)
        if job is not None and job.status in ACTIVE_STATUSES:
            self._active[job_id] = _is_speculative(job)
        else:
            self._active.pop(job_id, None)
            self._last_keys.pop(job_id, None)
            self._long_running.pop(job_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop all entries of a job that was removed from the state."""
        self.refresh_job(job_id)
        for key in [key for key in self._failed_on if key.job_id == job_id]:
            del self._failed_on[key]

    def note_failure(self, key: TaskKey, vm_id: str) -> None:
        """Record that a task failed or stalled on a VM; it then prefers other VMs."""
        self._failed_on.setdefault(key, set()).add(vm_id)

    def has_failed_elsewhere(self, job_id: str, vm_id: str) -> bool:
        """Return whether a task of a job failed or stalled on another VM."""
        return any(
            key.job_id == job_id and vms - {vm_id}
            for key, vms in self._failed_on.items()
        )

    def pool_of(self, job: JobRecord) -> str:
        """Return the pool that runs a job's tasks under the current plan."""
        return self.pool_of_spec(job.spec)

    def pool_of_spec(self, spec: JobSpec) -> str:
        """Return the pool that runs the tasks of a job with this specification."""
        queue = self._queues.get(spec.queue)
        return queue.pool if queue is not None else spec.pool

    def is_active(self, job_id: str) -> bool:
        """Return whether a job is active."""
        return job_id in self._active

    def priority_of(self, spec: JobSpec) -> int:
        """Return the priority of a job's queue."""
        queue = self._queues.get(spec.queue)
        return queue.priority if queue else 0

    def deadlines(self, spec: JobSpec, accepted_ms: int) -> tuple[float, float]:
        """Return the Unix times at which a job is due, and of no use any more, in ms.

        Parameters
        ----------
        spec : JobSpec
            The job, without long-running steps.
        accepted_ms : int
            Unix time of its acceptance.
        """
        return self._deadlines(spec, accepted_ms, critical_path_ms(spec))

    def _deadlines(
        self, spec: JobSpec, accepted_ms: int, path_ms: int
    ) -> tuple[float, float]:
        queue = self._queues.get(spec.queue)
        stretch = queue.stretch if queue else 1.0
        target_ms = queue.target_latency_ms if queue else 0
        objective_ms = stretch * path_ms + target_ms
        return (
            accepted_ms + objective_ms,
            accepted_ms + USELESS_AFTER_OBJECTIVES * objective_ms,
        )

    def needs_advice(self, job_id: str) -> bool:
        """Return whether a VM needs a ticket of the adviser to run the job's tasks."""
        queue = self._queues.get(self._state.jobs[job_id].spec.queue)
        return queue is not None and queue.needs_advice

    def slack_ms(self, job: JobRecord) -> float:
        """Return by how much a job may start late and still end by its deadline."""
        queue = self._queues.get(job.spec.queue)
        if queue is None:
            return 0.0
        path_ms = critical_path_ms(job.spec)
        return (queue.stretch - 1) * path_ms + queue.target_latency_ms

    def n_not_begun(self, queue: str) -> int:
        """Return the number of a queue's accepted jobs without any started task."""
        jobs = self._state.jobs
        return sum(
            1
            for job_id in self._active
            if jobs[job_id].spec.queue == queue and not _has_begun(jobs[job_id])
        )

    def waiting(
        self, now_ms: int, is_silent: Callable[[RunRecord], bool]
    ) -> list[tuple[Urgency, list[WaitingTask]]]:
        """Return the waiting tasks by job, the most urgent job first.

        A task of a speculative step also waits for a second run when the VM of its
        only run is silent. Isolated tasks go before all others, since they need VMs
        without runs. Quarantined tasks are left out.

        A job with more than `MAX_TASKS_IN_ROUND` waiting tasks is given in parts, one
        in each call.
        """
        waiting = []
        self.left_out = {}
        for job_id, is_speculative in self._active.items():
            job = self._state.jobs[job_id]
            keys = self._waiting.get(job_id)
            if keys is None:
                keys = list(_ready_keys(job))
                self._waiting[job_id] = keys
            if is_speculative:
                keys = [*keys, *_speculative_keys(job, is_silent)]
            if not keys:
                continue
            is_large = len(keys) > MAX_TASKS_IN_ROUND
            if is_large and not self._is_long_running(job):
                keys = self._part_of(job, keys)
            if self._state.silent_vms:
                keys = [key for key in keys if not _is_held(job, key)]
            tasks = [
                self._waiting_task(job, key)
                for key in keys
                if _is_due(job, key, now_ms)
            ]
            if tasks:
                urgency = self._urgency(job, now_ms)
                isolated = [task for task in tasks if task.is_isolated]
                others = [task for task in tasks if not task.is_isolated]
                waiting += [
                    (turn, urgency, job_id, group)
                    for turn, group in enumerate((isolated, others))
                    if group
                ]
        waiting.sort(key=lambda entry: entry[:3])
        return [(urgency, tasks) for _, urgency, _, tasks in waiting]

    def _part_of(self, job: JobRecord, keys: list[TaskKey]) -> list[TaskKey]:
        """Return the next part of a job's waiting tasks, in turn.

        Parts begin and end between steps where tasks of a step go together.
        """
        job_id, steps = job.spec.job_id, job.spec.steps
        last = self._last_keys.get(job_id)
        begin = 0 if last is None else bisect_right(keys, last)
        if begin == len(keys):
            begin = 0
        end = min(begin + MAX_TASKS_IN_ROUND, len(keys))
        while end < len(keys) and _is_same_gang(steps, keys[end - 1], keys[end]):
            end += 1
        part = keys[begin:end]
        self._last_keys[job_id] = part[-1]
        cpu = self._waiting_cpu.get(job_id)
        if cpu is None:
            cpu = sum(steps[key.step].need.cpu for key in keys)
            self._waiting_cpu[job_id] = cpu
        cpu_of_part = sum(steps[key.step].need.cpu for key in part)
        self.left_out[job_id] = max(0, cpu - cpu_of_part)
        return part

    def _waiting_task(self, job: JobRecord, key: TaskKey) -> WaitingTask:
        task = self._state.task(key)
        return WaitingTask(
            key,
            job.spec.steps[key.step],
            customer=job.spec.customer,
            pool=self.pool_of(job),
            checkpoint=_checkpoint(job, key),
            avoided=frozenset(self._failed_on.get(key, ())),
            crashed_machines=task.suspected_machines,
            is_isolated=is_isolated(job.spec.steps[key.step], task),
        )

    def _is_long_running(self, job: JobRecord) -> bool:
        """Return whether any step of a job is long-running."""
        is_long_running = self._long_running.get(job.spec.job_id)
        if is_long_running is None:
            is_long_running = any(step.is_long_running for step in job.spec.steps)
            self._long_running[job.spec.job_id] = is_long_running
        return is_long_running

    def _urgency(self, job: JobRecord, now_ms: int) -> Urgency:
        if self._is_long_running(job):
            return Urgency(LONG_RUNNING_BAND, 0, 0, job.accepted_ms)
        paths_ms = self._paths_ms.get(job.spec.job_id)
        if paths_ms is None:
            paths_ms = critical_path_ms(job.spec), critical_path_ms(job.spec, job)
            self._paths_ms[job.spec.job_id] = paths_ms
        whole_ms, open_ms = paths_ms
        due_ms, useless_ms = self._deadlines(job.spec, job.accepted_ms, whole_ms)
        end_ms = now_ms + ON_TIME_ESTIMATE_SHARE * open_ms
        band, turn = ON_TIME_BAND, 0
        if end_ms > due_ms:
            band = LATE_BAND if end_ms <= useless_ms else USELESS_BAND
        if self.turns and band != USELESS_BAND:
            turn = self._turn(job)
        return Urgency(band, turn, self.priority_of(job.spec), due_ms)

    def _turn(self, job: JobRecord) -> int:
        turn = self.turns.get(job.spec.job_id)
        if turn is None:
            key = (self.pool_of(job), job.spec.customer)
            turn = self.new_turns.get(key, 0)
        return turn


def critical_path_ms(spec: JobSpec, job: JobRecord | None = None) -> int:
    """Return the estimated duration of the critical path through a job's steps.

    Steps that are done count as 0 if the job is given. For a repeated job, this is the
    path of its last occurrence.
    """
    ends: list[int] = []
    for number, step in enumerate(spec.steps):
        begin = max((ends[i] for i in step.after if i < len(ends)), default=0)
        is_open = job is None or not all(t.is_done for t in job.tasks[-1][number])
        ends.append(begin + (step.estimate_ms if is_open else 0))
    return max(ends, default=0)


def _has_begun(job: JobRecord) -> bool:
    return any(task.n_runs for steps in job.tasks for tasks in steps for task in tasks)


def _is_due(job: JobRecord, key: TaskKey, now_ms: int) -> bool:
    repetition = job.spec.repetition
    if repetition is None:
        return True
    due_ms = repetition.first_at_ms + key.occurrence * repetition.interval_ms
    return now_ms >= due_ms


def _checkpoint(job: JobRecord, key: TaskKey) -> str:
    """Return the checkpoint that a task starts with, the same for a whole gang."""
    tasks = job.tasks[key.occurrence][key.step]
    if not job.spec.steps[key.step].is_gang:
        return tasks[key.index].checkpoint
    # Snapshots of earlier versions may hold different ones; each is valid for all.
    return next((task.checkpoint for task in tasks if task.checkpoint), "")


def _is_held(job: JobRecord, key: TaskKey) -> bool:
    """Return whether a task is quarantined, or a task of its gang."""
    tasks = job.tasks[key.occurrence][key.step]
    if job.spec.steps[key.step].is_gang:
        return any(is_quarantined(task) for task in tasks)
    return is_quarantined(tasks[key.index])


def _ready_keys(job: JobRecord) -> Iterator[TaskKey]:
    """Yield the tasks without a run for which all preceding steps are done."""
    for occurrence, steps in enumerate(job.tasks):
        done = [all(task.is_done for task in tasks) for tasks in steps]
        for number, step in enumerate(job.spec.steps):
            if done[number] or not all(done[i] for i in step.after):
                continue
            tasks = steps[number]
            if step.is_gang and any(task.runs for task in tasks):
                continue
            for index, task in enumerate(tasks):
                if _is_waiting(task):
                    yield TaskKey(job.spec.job_id, occurrence, number, index)


def _speculative_keys(
    job: JobRecord, is_silent: Callable[[RunRecord], bool]
) -> Iterator[TaskKey]:
    """Yield the tasks of speculative steps whose only run is on a silent VM."""
    for number, step in enumerate(job.spec.steps):
        if not step.is_speculative or step.is_gang:
            continue
        for occurrence, steps in enumerate(job.tasks):
            for index, task in enumerate(steps[number]):
                if task.is_done or len(task.runs) != 1:
                    continue
                # A second run of a task that crashes VMs would crash one more.
                if not task.n_suspected_crashes and is_silent(task.runs[0]):
                    yield TaskKey(job.spec.job_id, occurrence, number, index)


def _is_same_gang(steps: Sequence[StepSpec], key: TaskKey, other: TaskKey) -> bool:
    """Return whether two tasks of a job are members of one gang."""
    return key[:3] == other[:3] and steps[key.step].is_gang


def _is_speculative(job: JobRecord) -> bool:
    return any(step.is_speculative and not step.is_gang for step in job.spec.steps)


def _is_waiting(task: TaskRecord) -> bool:
    return not task.is_done and not task.runs


def non_preemptible_need(
    state: JobsState,
    steps: Mapping[tuple[str, int, int], int],
    *,
    with_gangs: bool = True,
) -> Amounts:
    """Return the capacity reserved by the tasks that are not preempted.

    These are long-running tasks and tasks of gangs.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    steps : mapping of tuple to int
        Number of tasks by job, occurrence and step.
    with_gangs : bool
        Whether to include the gangs that are preempted as a last resort.
    """
    total = NO_AMOUNTS
    for (job_id, _, number), n_tasks in steps.items():
        step = state.jobs[job_id].spec.steps[number]
        is_kept_gang = step.is_gang and (with_gangs or step.disruption_budget > 0)
        if step.is_long_running or is_kept_gang:
            total = total + step.reserved.times(n_tasks)
    return total
