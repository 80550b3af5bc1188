"""Which runs give way to a task that must not wait."""

from collections.abc import Mapping
from datetime import timedelta

from ..clock import Clock
from ..jobs import ActiveRun, Amounts, JobsState
from ..placement import WaitingTask
from ._agent import VmAgent
from ._board import count_steps

__all__ = ["choose_victims"]


def choose_victims(
    task: WaitingTask,
    state: JobsState,
    agents: Mapping[str, VmAgent],
    clock: Clock,
) -> list[tuple[VmAgent, ActiveRun]]:
    """Return the runs to stop on one VM of the pool, where least work is lost.

    Nothing is returned while a VM of the pool is being freed already.
    """
    now = clock.monotonic()
    best: list[tuple[VmAgent, ActiveRun]] = []
    best_cost = None
    for vm_id, agent in agents.items():
        vm = agent.vm
        is_candidate = vm.pool == task.pool and agent.is_ready(now)
        if not is_candidate or agent.health.is_avoided(now):
            continue
        runs = state.runs_of(vm_id, vm.born_ms)
        if any(agent.is_stopping(run.key, run.number) for run in runs):
            return []
        used, steps = count_steps(state, vm_id)
        n_there = steps.get(task.key[:3], 0)
        most = task.step.max_per_vm or task.step.disruption_budget
        if (most and n_there >= most) or (
            task.step.label and task.step.label not in vm.labels
        ):
            continue
        victims = _victims_on(task.step.need, vm.capacity - used, runs, state)
        if victims is None:
            continue
        cost = sum(_lost_work(run, state, agent, now) for run in victims)
        if best_cost is None or cost < best_cost:
            best_cost = cost
            best = [(agent, run) for run in victims]
    return best


def _victims_on(
    need: Amounts, free: Amounts, runs: tuple[ActiveRun, ...], state: JobsState
) -> list[ActiveRun] | None:
    """Return the newest runs whose end makes enough room, None if none do."""
    victims: list[ActiveRun] = []
    for run in sorted(runs, key=lambda run: -run.started_ms):
        if need.fits(free):
            break
        job = state.jobs.get(run.key.job_id)
        if job is None:
            continue
        step = job.spec.steps[run.key.step]
        if step.is_long_running or step.is_gang:
            continue
        free = free + step.need
        victims.append(run)
    return victims if need.fits(free) else None


def _lost_work(
    run: ActiveRun, state: JobsState, agent: VmAgent, now: timedelta
) -> float:
    """Return the core-milliseconds that stopping a run throws away."""
    step = state.step(run.key)
    listed = agent.listed.get((run.key, run.number))
    if step.has_checkpoints or listed is None:
        return step.need.cpu
    return step.need.cpu * (1 + listed.percent / 100 * step.estimate_ms)
