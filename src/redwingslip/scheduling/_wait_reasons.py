"""Why a long-running task finds no VM, or a task waits for a rack, for the log."""

from collections import Counter
from datetime import timedelta

from ..jobs import JobsState
from ..placement import RackWait, WaitingTask, is_allowed
from ._agent import VmAgent
from ._job_index import non_preemptible_need
from ._machines import MachineRegistry

__all__ = ["describe_pool", "describe_rack_wait"]


def describe_pool(
    task: WaitingTask, *, state: JobsState, machines: MachineRegistry, now: timedelta
) -> str:
    """Return how many VMs of a task's pool can't take it, by reason.

    Parameters
    ----------
    task : WaitingTask
        The task.
    state : JobsState
        The replicated state.
    machines : MachineRegistry
        Registry of the machines and their agents.
    now : timedelta
        Monotonic time.
    """
    reasons = Counter(
        _reason(task, agent, state=state, machines=machines, now=now)
        for agent in machines.agents.values()
        if agent.vm.pool == task.pool
    )
    if not reasons:
        return "no VM in the pool"
    return ", ".join(f"{count} {reason}" for reason, count in sorted(reasons.items()))


def describe_rack_wait(wait: RackWait) -> str:
    """Return what a task waits for that could start outside its rack."""
    rack = f"rack {wait.rack}" if wait.rack else "any one rack"
    longest_ms = wait.until_ms - wait.begun_ms
    return (
        f"waits for room in {rack}: expected in {wait.expected_ms:.0f} ms, "
        f"saves {wait.saved_ms:.0f} ms, at most {longest_ms:.0f} ms in all"
    )


def _reason(
    task: WaitingTask,
    agent: VmAgent,
    *,
    state: JobsState,
    machines: MachineRegistry,
    now: timedelta,
) -> str:
    vm = agent.vm
    if vm.is_draining:
        return "draining"
    if agent.is_evacuated:
        return f"in evacuated data centre {vm.data_centre}"
    if not agent.is_ready(now) or not agent.is_responsive:
        return "out of contact"
    used, steps = state.usage.of_vm(vm.vm_id)
    if not is_allowed(task.step, task.key[:3], vm.labels, steps):
        return "excluded by the step"
    if task.allowed is not None and vm.vm_id not in task.allowed:
        return "without a ticket"
    need = task.step.reserved
    if not need.fits(
        vm.capacity - non_preemptible_need(state, steps, with_gangs=False)
    ):
        return "full of runs that are never stopped"
    if machines.is_claimed(vm.machine):
        return "claimed"
    if need.fits(machines.ramp.usable(vm, used)):
        return "with room"
    if need.fits(vm.capacity - used):
        return "filling up gradually, as they may be cold"
    runs = state.runs_of(vm.vm_id, vm.born_ms)
    if any(agent.is_stopping(run.key, run.number) for run in runs):
        return "where runs are being stopped"
    return "full"
