"""Preemption: which runs are stopped in favour of tasks that must not wait."""

from collections import Counter
from datetime import timedelta

import msgspec

from ..jobs import NO_AMOUNTS, ActiveRun, Amounts, JobsState
from ..placement import WaitingTask, is_allowed, keeps_budget
from ._advice import StepKey
from ._agent import VmAgent
from ._machines import MachineRegistry

__all__ = ["MadeRoom", "Preemption"]


class MadeRoom(msgspec.Struct, frozen=True):
    """The VM on which a waiting task finds room, and the runs to stop for it.

    Attributes
    ----------
    vm_id : str
        The VM.
    victims : list of (VmAgent, ActiveRun)
        The runs; empty if those that are being stopped leave enough room.
    """

    vm_id: str
    victims: list[tuple[VmAgent, ActiveRun]]


class _Promise(msgspec.Struct):
    """Room of a VM that its stopping runs leave, kept for tasks of this round.

    Attributes
    ----------
    needed : Amounts
        Resources that the tasks need.
    steps : Counter
        Number of the tasks by job, occurrence and step.
    """

    needed: Amounts = NO_AMOUNTS
    steps: Counter[tuple] = msgspec.field(default_factory=Counter)


class Preemption:
    """Chooses, in one round of placement, the runs to stop for waiting tasks.

    A gang works only as a whole. It is stopped as a whole, and only for a task that has
    waited and finds no other room. Long-running runs are never stopped.

    The caller passes the tasks in the order of their urgency. Room that becomes free on
    a VM is kept for the first task that fits, so that each of several tasks gets its
    own without waiting for the others.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    machines : MachineRegistry
        Registry of the machines and their agents.
    now : timedelta
        Monotonic time.
    now_ms : int
        Unix time in milliseconds.
    """

    __slots__ = ("_gang_runs", "_machines", "_now", "_now_ms", "_promises", "_state")

    def __init__(
        self,
        state: JobsState,
        machines: MachineRegistry,
        *,
        now: timedelta,
        now_ms: int,
    ) -> None:
        self._state = state
        self._machines = machines
        self._now = now
        self._now_ms = now_ms
        self._promises: dict[str, _Promise] = {}
        self._gang_runs: dict[StepKey, list[tuple[VmAgent, ActiveRun]]] | None = None

    def make_room(
        self, task: WaitingTask, *, with_gangs: bool = False
    ) -> MadeRoom | None:
        """Return the VM of the pool on which least work is lost, with its runs to stop.

        None is returned if no VM can get enough room.

        Parameters
        ----------
        task : WaitingTask
            The task.
        with_gangs : bool
            Whether gangs may be stopped as well.
        """
        if with_gangs and not self._gangs():
            return None
        room = self._cheapest_room(task, with_gangs=with_gangs)
        if room is not None:
            self._promise(room.vm_id, task)
        return room

    def _cheapest_room(self, task: WaitingTask, *, with_gangs: bool) -> MadeRoom | None:
        options = []
        for vm_id, agent in self._machines.agents.items():
            if agent.vm.pool != task.pool or not self._is_eligible(agent, task):
                continue
            runs = self._state.runs_of(vm_id, agent.vm.born_ms)
            stopping = [r for r in runs if agent.is_stopping(r.key, r.number)]
            chosen = self._victims_on(
                task, agent, runs, stopping, with_gangs=with_gangs
            )
            if chosen is None:
                continue
            if not chosen and stopping:
                return MadeRoom(vm_id, [])
            if chosen:
                victims = self._with_gangs(agent, chosen)
                cost = sum(_lost_work(run, self._state, a) for a, run in victims)
                options.append((cost, vm_id, victims))
        if not options:
            return None
        _, vm_id, victims = min(options, key=lambda option: option[:2])
        return MadeRoom(vm_id, victims)

    def _with_gangs(
        self, agent: VmAgent, chosen: list[ActiveRun]
    ) -> list[tuple[VmAgent, ActiveRun]]:
        """Return the chosen runs on a VM, and those of their gangs on other VMs."""
        victims = [(agent, run) for run in chosen]
        for step_key in {r.key[:3] for r in chosen if self._state.step(r.key).is_gang}:
            victims += [
                (other, run)
                for other, run in self._gangs().get(step_key, ())
                if other is not agent and not other.is_stopping(run.key, run.number)
            ]
        return victims

    def _gangs(self) -> dict[StepKey, list[tuple[VmAgent, ActiveRun]]]:
        """Return the runs of the gangs that may be stopped, read once in a round."""
        if self._gang_runs is None:
            self._gang_runs = {}
            for vm_id, agent in self._machines.agents.items():
                for run in self._state.runs_of(vm_id, agent.vm.born_ms):
                    step = self._state.step(run.key)
                    if step.is_gang and not step.disruption_budget:
                        runs = self._gang_runs.setdefault(run.key[:3], [])
                        runs.append((agent, run))
        return self._gang_runs

    def _is_eligible(self, agent: VmAgent, task: WaitingTask) -> bool:
        """Return whether runs on a VM may be stopped to make room for a task."""
        if not agent.is_ready(self._now) or not agent.is_responsive:
            return False
        if self._machines.is_claimed(agent.vm.machine):
            return False
        if self._machines.ramp.share(agent.vm) < 1:
            return False
        suspects = self._state.recent_suspects(agent.vm.vm_id, self._now_ms)
        if suspects and (task.is_isolated or not task.takes_any_vm):
            return False
        return task.takes_any_vm or not agent.health.is_avoided(self._now)

    def _promise(self, vm_id: str, task: WaitingTask) -> None:
        promise = self._promises.setdefault(vm_id, _Promise())
        promise.needed = promise.needed + task.step.reserved
        promise.steps[task.key[:3]] += 1

    def _victims_on(
        self,
        task: WaitingTask,
        agent: VmAgent,
        runs: tuple[ActiveRun, ...],
        stopping: list[ActiveRun],
        *,
        with_gangs: bool,
    ) -> list[ActiveRun] | None:
        """Return the newest runs whose end frees enough capacity; None if none does.

        Runs of gangs come last, and all of a gang on the VM together.
        """
        vm = agent.vm
        promise = self._promises.get(vm.vm_id, _Promise())
        used, steps = self._state.usage.of_vm(vm.vm_id)
        steps += promise.steps
        step_key = task.key[:3]
        if not is_allowed(task.step, step_key, vm.labels, steps):
            return None
        if not task.takes_any_vm and not keeps_budget(task.step, step_key, steps):
            return None
        if task.allowed is not None and vm.vm_id not in task.allowed:
            return None
        free = vm.capacity - used - promise.needed
        for run in stopping:
            free = free + self._state.step(run.key).reserved
        victims: list[ActiveRun] = []
        for group in self._stoppable(runs, stopping, with_gangs=with_gangs):
            if task.step.reserved.fits(free):
                break
            for run in group:
                free = free + self._state.step(run.key).reserved
            victims += group
        return victims if task.step.reserved.fits(free) else None

    def _stoppable(
        self,
        runs: tuple[ActiveRun, ...],
        stopping: list[ActiveRun],
        *,
        with_gangs: bool,
    ) -> list[list[ActiveRun]]:
        """Return the runs on a VM that may be stopped, by those that end together."""
        single: list[list[ActiveRun]] = []
        gangs: dict[tuple, list[ActiveRun]] = {}
        for run in sorted(runs, key=lambda run: -run.started_ms):
            step = self._state.step(run.key)
            if run in stopping or step.is_long_running:
                continue
            if not step.is_gang:
                single.append([run])
            elif with_gangs and not step.disruption_budget:
                gangs.setdefault(run.key[:3], []).append(run)
        return [*single, *gangs.values()]


def _lost_work(run: ActiveRun, state: JobsState, agent: VmAgent) -> float:
    """Return the work lost by stopping a run, in thousandths of a core times ms."""
    step = state.step(run.key)
    listed = agent.listed_runs.get((run.key, run.number))
    if step.has_checkpoints or listed is None:
        return step.need.cpu
    return step.need.cpu * (1 + listed.percent / 100 * step.estimate_ms)
