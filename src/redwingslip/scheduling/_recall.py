"""Machines that a move or a wave gives up for a long-running task."""

from ..jobs import JobsState
from ..placement import WaitingTask, is_allowed
from ._agent import VmAgent
from ._job_index import non_preemptible_need
from ._machines import MachineRegistry
from ._term import Term

__all__ = ["recall_machine"]


def recall_machine(
    task: WaitingTask, *, term: Term, machines: MachineRegistry
) -> str | None:
    """Have the claim on one machine withdrawn whose VM could run a task.

    A VM with room is preferred to one on which runs have to be stopped first.

    Returns
    -------
    str or None
        The VM, which takes runs from the next round on; None if there is none.
    """
    options = [
        (not _has_room(task, agent, term.state), vm_id, agent.vm.machine)
        for vm_id, agent in machines.agents.items()
        if machines.is_claimed(agent.vm.machine) and _is_suitable(task, agent, term)
    ]
    for _, vm_id, machine in sorted(options):
        if machines.recall(machine):
            return vm_id
    return None


def _is_suitable(task: WaitingTask, agent: VmAgent, term: Term) -> bool:
    """Return whether a VM could run a task if its machine were not claimed."""
    vm = agent.vm
    if vm.pool != task.pool or not agent.is_responsive:
        return False
    if not agent.is_ready(term.clock.monotonic()):
        return False
    if task.allowed is not None and vm.vm_id not in task.allowed:
        return False
    if task.is_isolated:
        suspects = term.state.recent_suspects(vm.vm_id, term.now_ms())
        if any(run.key.job_id != task.key.job_id for run in suspects):
            return False
    _, steps = term.state.usage.of_vm(vm.vm_id)
    if not is_allowed(task.step, task.key[:3], vm.labels, steps):
        return False
    kept = non_preemptible_need(term.state, steps, with_gangs=False)
    return task.step.reserved.fits(vm.capacity - kept)


def _has_room(task: WaitingTask, agent: VmAgent, state: JobsState) -> bool:
    used, _ = state.usage.of_vm(agent.vm.vm_id)
    return task.step.reserved.fits(agent.vm.capacity - used)
