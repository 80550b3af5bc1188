"""Starts and ends of runs in the replicated state, and what they mean for a job."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ._active_runs import ActiveRun
from ._commands import RecordEnds, RunEnd, RunStart, StartRuns
from ._records import (
    ACTIVE_STATUSES,
    EndKind,
    JobRecord,
    JobStatus,
    RunRecord,
    TaskRecord,
    iter_tasks,
)
from ._spec import StepSpec, TaskKey

if TYPE_CHECKING:
    from ._state import JobsState

__all__ = [
    "add_active_run",
    "close_lost_runs",
    "close_run",
    "find_runs",
    "start_runs",
]

# Far more runs of one task than leaders close while a VM can still report an end.
MAX_UNREPORTED = 32


def start_runs(state: "JobsState", command: StartRuns) -> tuple[ActiveRun, ...]:
    """Start runs and return those that were started, without the ignored ones."""
    starts = command.starts
    if state.evacuations.started:
        starts = _outside_evacuations(state, starts)
    gang_run_numbers = _find_gang_run_numbers(state, starts)
    runs = (
        _start_run(state, start, command.now_ms, gang_run_numbers) for start in starts
    )
    return tuple(run for run in runs if run is not None)


def add_active_run(state: "JobsState", key: TaskKey, run: RunRecord) -> ActiveRun:
    """Add a run of a task to the index of runs, and return its entry."""
    active = state.active_runs.add(key, run, state.jobs[key.job_id].spec)
    if state.task(key).n_suspected_crashes:
        state.active_runs.add_suspects(key, [run])
    return active


def find_runs(
    state: "JobsState", command: RecordEnds, run_ids: tuple[tuple[TaskKey, int], ...]
) -> Iterator[RunRecord]:
    """Yield those of the runs that may be alive on the command's incarnation."""
    for key, number in run_ids:
        run = state.run(key, number)
        place = (command.vm_id, command.born_ms)
        if run is not None and (run.vm_id, run.born_ms) == place:
            yield run


def close_run(state: "JobsState", command: RecordEnds, end: RunEnd) -> bool:
    """Close a run if it is active on the command's incarnation of the VM.

    Return whether it was active. A report of the VM that comes after a leader has
    closed the run still counts: it tells how the run ended.
    """
    run_id = (end.key, end.number)
    active = state.active_runs.find(command.vm_id, command.born_ms, run_id)
    task = state.task(end.key)
    if active is None:
        if command.cursor and task is not None and end.number in task.unreported:
            task.unreported.remove(end.number)
            _count_end(state, end, command.now_ms)
        return False
    state.active_runs.remove(active, state.jobs[end.key.job_id].spec)
    task.runs = [r for r in task.runs if r.number != end.number]
    if not command.cursor and not state.step(end.key).is_long_running:
        task.unreported = [*task.unreported, end.number][-MAX_UNREPORTED:]
    if end.checkpoint:
        # A gang works only if its members start with the same checkpoint.
        for member in _tasks_as_one(state, end.key):
            member.checkpoint = end.checkpoint
    _count_end(state, end, command.now_ms)
    return True


def close_lost_runs(
    state: "JobsState", vm_id: str, born_ms: int, now_ms: int
) -> tuple[RunEnd, ...]:
    """Close all runs on an incarnation of a VM as lost and return their ends."""
    ends = tuple(
        RunEnd(run.key, run.number, EndKind.LOST)
        for run in state.runs_of(vm_id, born_ms)
    )
    command = RecordEnds(vm_id=vm_id, born_ms=born_ms, ends=ends, now_ms=now_ms)
    for end in ends:
        close_run(state, command, end)
    return ends


def _outside_evacuations(
    state: "JobsState", starts: tuple[RunStart, ...]
) -> tuple[RunStart, ...]:
    """Return the starts on VMs that are not in an evacuated data centre.

    The leader may have proposed the others before the evacuation was committed. A gang
    starts as a whole or not at all.
    """
    vms = (state.vms.get(start.vm_id) for start in starts)
    is_evacuated = [
        vm is not None and state.evacuations.includes(vm.data_centre) for vm in vms
    ]
    refused_gangs = {
        start.key[:3]
        for start, refused in zip(starts, is_evacuated, strict=True)
        if refused and start.key.job_id in state.jobs and state.step(start.key).is_gang
    }
    return tuple(
        start
        for start, refused in zip(starts, is_evacuated, strict=True)
        if not refused and start.key[:3] not in refused_gangs
    )


def _find_gang_run_numbers(
    state: "JobsState", starts: tuple[RunStart, ...]
) -> dict[tuple, int]:
    """Return the next run number of each gang among the starts.

    All members of a gang get the same run number.
    """
    numbers: dict[tuple, int] = {}
    for start in starts:
        key = start.key
        task = state.task(key)
        if task is not None and state.step(key).is_gang:
            gang = key[:3]
            numbers[gang] = max(numbers.get(gang, 1), task.n_runs + 1)
    return numbers


def _start_run(
    state: "JobsState", start: RunStart, now_ms: int, gang_run_numbers: dict[tuple, int]
) -> ActiveRun | None:
    key = start.key
    task = state.task(key)
    vm = state.vms.get(start.vm_id)
    if task is None or task.is_done or vm is None or vm.born_ms != start.born_ms:
        return None
    job = state.jobs[key.job_id]
    if job.status not in ACTIVE_STATUSES:
        return None
    if task.runs and not state.step(key).is_speculative:
        return None
    task.n_runs = gang_run_numbers.get(key[:3], task.n_runs + 1)
    run = RunRecord(task.n_runs, start.vm_id, start.born_ms, start.checkpoint, now_ms)
    task.runs.append(run)
    job.status = JobStatus.RUNNING
    return add_active_run(state, key, run)


def _count_end(state: "JobsState", end: RunEnd, now_ms: int) -> None:
    """Count the success or failure of a run for its task and job."""
    job = state.jobs[end.key.job_id]
    step = state.step(end.key)
    if end.kind is EndKind.FAILED:
        task = state.task(end.key)
        task.n_failures += 1
        _fail_if_out_of_attempts(state, job, step, task, now_ms)
    elif end.kind is EndKind.DONE and not step.is_long_running:
        _complete_task(state, end.key, now_ms)


def _fail_if_out_of_attempts(
    state: "JobsState", job: JobRecord, step: StepSpec, task: TaskRecord, now_ms: int
) -> None:
    if step.is_long_running or job.status not in ACTIVE_STATUSES or task.is_done:
        return
    queue = state.queue(job.spec.queue)
    if queue is not None and task.n_failures >= queue.max_attempts:
        job.status, job.ended_ms = JobStatus.FAILED, now_ms


def _tasks_as_one(state: "JobsState", key: TaskKey) -> list[TaskRecord]:
    """Return the task of a key, or all tasks of its gang."""
    tasks = state.jobs[key.job_id].tasks[key.occurrence][key.step]
    return tasks if state.step(key).is_gang else [tasks[key.index]]


def _complete_task(state: "JobsState", key: TaskKey, now_ms: int) -> None:
    """Mark a task or its gang as done; complete the job with its last task."""
    for task in _tasks_as_one(state, key):
        task.is_done = True
    job = state.jobs[key.job_id]
    if job.status not in ACTIVE_STATUSES:
        return
    if all(task.is_done for _, task in iter_tasks(job)):
        job.status, job.ended_ms = JobStatus.COMPLETED, now_ms
