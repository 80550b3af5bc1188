"""Preemption: which runs are stopped in favour of a task that must not wait."""

from datetime import timedelta

from ..jobs import ActiveRun, JobsState
from ..placement import WaitingTask, is_allowed, keeps_budget
from ._agent import VmAgent
from ._machines import MachineRegistry

__all__ = ["choose_victims"]


def choose_victims(
    task: WaitingTask, state: JobsState, machines: MachineRegistry, now: timedelta
) -> list[tuple[VmAgent, ActiveRun]]:
    """Return the runs to stop on the VM of the pool on which least work is lost.

    No runs are returned while a VM of the pool has runs that are being stopped.

    Parameters
    ----------
    task : WaitingTask
        The task that needs capacity.
    state : JobsState
        The replicated state.
    machines : MachineRegistry
        Registry of the machines and their agents.
    now : timedelta
        Monotonic time.
    """
    options = []
    for vm_id, agent in machines.agents.items():
        if agent.vm.pool != task.pool or not agent.is_ready(now):
            continue
        runs = state.runs_of(vm_id, agent.vm.born_ms)
        if any(agent.is_stopping(run.key, run.number) for run in runs):
            return []
        if machines.is_claimed(agent.vm.machine) or agent.health.is_avoided(now):
            continue
        if vm_id in state.suspect_runs:
            continue
        victims = _victims_on(task, agent, runs, state)
        if victims:
            cost = sum(_lost_work(run, state, agent) for run in victims)
            options.append((cost, vm_id, [(agent, run) for run in victims]))
    return min(options, key=lambda option: option[:2], default=(0, "", []))[2]


def _victims_on(
    task: WaitingTask, agent: VmAgent, runs: tuple[ActiveRun, ...], state: JobsState
) -> list[ActiveRun]:
    """Return the newest runs whose end frees enough capacity; none if not possible."""
    vm = agent.vm
    used, steps = state.usage.of_vm(vm.vm_id)
    if not is_allowed(task.step, task.key[:3], vm.labels, steps):
        return []
    if not task.takes_any_vm and not keeps_budget(task.step, task.key[:3], steps):
        return []
    if task.allowed is not None and vm.vm_id not in task.allowed:
        return []
    free = vm.capacity - used
    victims: list[ActiveRun] = []
    for run in sorted(runs, key=lambda run: -run.started_ms):
        if task.step.need.fits(free):
            break
        job = state.jobs.get(run.key.job_id)
        if job is None:
            continue
        step = job.spec.steps[run.key.step]
        if not step.is_long_running and not step.is_gang:
            free = free + step.need
            victims.append(run)
    return victims if task.step.need.fits(free) else []


def _lost_work(run: ActiveRun, state: JobsState, agent: VmAgent) -> float:
    """Return the work lost by stopping a run, in thousandths of a core times ms."""
    step = state.step(run.key)
    listed = agent.listed_runs.get((run.key, run.number))
    if step.has_checkpoints or listed is None:
        return step.need.cpu
    return step.need.cpu * (1 + listed.percent / 100 * step.estimate_ms)
