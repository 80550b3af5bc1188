"""When a task is suspected of crashing the VMs that start it, and given up.

A VM that falls silent is a reason for suspicion, and no proof that it has crashed. A
job is given up only for VMs that are known to have ended.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ._active_runs import ActiveRun
from ._records import ACTIVE_STATUSES, JobStatus, SilentVm, TaskRecord
from ._spec import StepSpec, TaskKey

if TYPE_CHECKING:
    from ._state import JobsState

__all__ = [
    "MAX_CRASHES",
    "PROBATION_MS",
    "clear_silence",
    "confirm_crash",
    "count_crash",
    "is_isolated",
    "is_quarantined",
    "note_silence",
]

# A run that its VM still lists this long after its start does not crash it. The time
# until the end of a VM is recorded tells nothing, as there may be no leader meanwhile.
PROBATION_MS = 10_000
# After two crashes a task may be given up (platform contract). Other runs on these VMs
# are suspected alike, so that each later run is alone on its VM, for two more crashes.
N_CRASHES_TO_ISOLATE = 2
MAX_CRASHES = 4


def is_isolated(step: StepSpec, task: TaskRecord) -> bool:
    """Return whether a task may share a VM only with other tasks of its job.

    The tasks of a gang need many VMs at the same time and are never isolated.
    """
    return task.n_suspected_crashes >= N_CRASHES_TO_ISOLATE and not step.is_gang


def is_quarantined(task: TaskRecord) -> bool:
    """Return whether a task must not start until more is known of silent VMs.

    Its job would be given up if all of them had crashed.
    """
    return bool(task.silent_vms) and task.n_suspected_crashes >= MAX_CRASHES


def count_crash(
    state: "JobsState", vm_id: str, born_ms: int, now_ms: int
) -> list[TaskKey]:
    """Count a crash under each task that may have crashed a VM.

    Return the tasks whose job fails for an earlier silence of that VM.
    """
    silent = state.silent_vms.find(vm_id, born_ms)
    for run in _crash_suspects(state, vm_id, born_ms):
        task = _suspect(state, run.key)
        if silent in task.silent_vms:
            # The same crash is confirmed below.
            continue
        task.crashed_machines.append(_machine_of(state, vm_id))
        _fail_if_too_many_crashes(state, run.key, now_ms)
    return [] if silent is None else confirm_crash(state, silent, now_ms)


def note_silence(state: "JobsState", vm_id: str, born_ms: int) -> None:
    """Note a silence under each task that may have crashed the VM."""
    vm = state.vms.get(vm_id)
    silent = state.silent_vms.find(vm_id, born_ms) or SilentVm(
        vm_id,
        born_ms,
        machine=_machine_of(state, vm_id),
        address="" if vm is None else vm.address,
        noted_ms=state.machine_orders.steady_ms,
    )
    for run in _crash_suspects(state, vm_id, born_ms):
        task = _suspect(state, run.key)
        if silent not in task.silent_vms:
            task.silent_vms.append(silent)
            state.silent_vms.add(silent, run.key)


def clear_silence(state: "JobsState", vm_id: str, born_ms: int) -> None:
    """Take back that an incarnation fell silent, as it has not crashed."""
    silent = state.silent_vms.find(vm_id, born_ms)
    if silent is None:
        return
    for key in state.silent_vms.tasks_of(silent):
        _remove_silence(state, silent, key)
        task = state.task(key)
        if not task.n_suspected_crashes:
            state.active_runs.remove_suspects(key, task.runs)


def confirm_crash(state: "JobsState", silent: SilentVm, now_ms: int) -> list[TaskKey]:
    """Count the crash of a VM that was silent; return the tasks given up for it.

    A VM whose machine was to be moved or maintained meanwhile may have ended by
    that order, which proves nothing.
    """
    if state.machine_orders.is_ordered_since(silent.machine, silent.noted_ms):
        clear_silence(state, silent.vm_id, silent.born_ms)
        return []
    given_up = []
    for key in state.silent_vms.tasks_of(silent):
        _remove_silence(state, silent, key)
        state.task(key).crashed_machines.append(silent.machine)
        if _fail_if_too_many_crashes(state, key, now_ms):
            given_up.append(key)
    return given_up


def _remove_silence(state: "JobsState", silent: SilentVm, key: TaskKey) -> None:
    state.silent_vms.discard(silent, key)
    state.task(key).silent_vms.remove(silent)


def _crash_suspects(
    state: "JobsState", vm_id: str, born_ms: int
) -> Iterator[ActiveRun]:
    """Yield the runs that may have ended a VM that ends or falls silent now.

    A VM that was draining has ended as it had announced, and one whose machine was
    to be maintained by the order. A run that its VM has listed for long is not
    suspected, nor a long-running one that was at work: one that crashes its VMs
    does not get that far.
    """
    vm = state.vms.get(vm_id)
    if vm is not None and vm.born_ms == born_ms and vm.is_draining:
        return
    machine = _machine_of(state, vm_id)
    for run in state.runs_of(vm_id, born_ms):
        record = state.run(run.key, run.number)
        if record.is_at_work or record.has_passed_probation:
            continue
        if state.task(run.key).is_done:
            continue
        if not _is_maintained_since(state, machine, run.started_ms):
            yield run


def _is_maintained_since(state: "JobsState", machine: str, unix_ms: int) -> bool:
    """Return whether maintenance of a machine was ordered at a time or later."""
    times = (wave.ordered.get(machine) for wave in state.waves.values())
    return any(at_ms is not None and at_ms >= unix_ms for at_ms in times)


def _suspect(state: "JobsState", key: TaskKey) -> TaskRecord:
    """Add the runs of a task to those that may crash their VM, and return it."""
    task = state.task(key)
    state.active_runs.add_suspects(key, task.runs)
    return task


def _machine_of(state: "JobsState", vm_id: str) -> str:
    vm = state.vms.get(vm_id)
    return vm.machine if vm is not None else vm_id


def _fail_if_too_many_crashes(state: "JobsState", key: TaskKey, now_ms: int) -> bool:
    """Give up the job of a task that crashes its VMs; return whether it fails."""
    job = state.jobs[key.job_id]
    task = state.task(key)
    if task.is_done or task.n_crashes < MAX_CRASHES:
        return False
    if job.status not in ACTIVE_STATUSES:
        return False
    job.status, job.ended_ms = JobStatus.FAILED, now_ms
    return True
