"""Rounds of placement over what the leader knows."""

from collections.abc import Callable, Iterable, Mapping

from ..clock import Clock
from ..jobs import ActiveRun, JobsState, RunRecord, RunStart
from ..placement import Placer, PoolRoom, Urgency, VmRoom, WaitingTask
from ._advice import AdviceBook
from ._agent import VmAgent
from ._board import LASTING, JobBoard, PoolBacklog, count_steps
from ._preemption import choose_victims

__all__ = ["PlacementRounds"]


class PlacementRounds:
    """Decides what starts where, and takes note of what finds no place.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    agents : mapping of str to VmAgent
        The leader's agents.
    board : JobBoard
        What waits.
    advice : AdviceBook
        Tickets of queues whose VMs an adviser chooses.
    is_leaving : callable
        Returns whether a machine is about to leave its pool or to be maintained.
    clock : Clock
        The time.
    on_preempted : callable
        Called with each run that is stopped, and the task that it gives way to.

    Attributes
    ----------
    backlog : dict of str to PoolBacklog
        What found no place in the last round, by pool.
    """

    __slots__ = (
        "_advice",
        "_agents",
        "_board",
        "_clock",
        "_is_leaving",
        "_on_preempted",
        "_state",
        "backlog",
    )

    def __init__(
        self,
        *,
        state: JobsState,
        agents: Mapping[str, VmAgent],
        board: JobBoard,
        advice: AdviceBook,
        is_leaving: Callable[[str], bool],
        clock: Clock,
        on_preempted: Callable[[ActiveRun, WaitingTask], None],
    ) -> None:
        self._state = state
        self._agents = agents
        self._board = board
        self._advice = advice
        self._is_leaving = is_leaving
        self._clock = clock
        self._on_preempted = on_preempted
        self.backlog: dict[str, PoolBacklog] = {}

    def decide(self, now_ms: int) -> tuple[RunStart, ...]:
        """Return the starts of one round."""
        usage = self._board.usage()
        jobs = self._board.waiting(now_ms, self._is_doubtful)
        self.backlog.clear()
        if not jobs:
            return ()
        limits = {c.name: c.limit for c in self._state.plan.customers}
        placer = Placer(pools=self._rooms(), usage=usage, limits=limits)
        starts: list[RunStart] = []
        for urgency, tasks in jobs:
            starts.extend(self._place_job(placer, urgency, tasks))
        return tuple(starts)

    def _is_doubtful(self, run: RunRecord) -> bool:
        """Return whether a run's VM has not answered lately."""
        agent = self._agents.get(run.vm_id)
        if agent is None:
            return True
        return not agent.lease.is_in_contact(self._clock.monotonic())

    def _place_job(
        self, placer: Placer, urgency: Urgency, tasks: list[WaitingTask]
    ) -> list[RunStart]:
        starts: list[RunStart] = []
        full_steps = set()
        needs_advice = self._board.needs_advice(tasks[0].key.job_id)
        if needs_advice:
            for task in tasks:
                task.allowed = self._advice.tickets(task.key[:3])
        gangs: dict[tuple, list[WaitingTask]] = {}
        for task in tasks:
            if task.step.is_gang:
                gangs.setdefault(task.key[:3], []).append(task)
            elif task.key[:3] not in full_steps:
                start = placer.place(task)
                if start is not None:
                    starts.append(start)
                    continue
                full_steps.add(task.key[:3])
                if needs_advice:
                    self._advice.want(task.key[:3], task.pool)
                self._note_backlog(task, tasks)
                if urgency.band == LASTING:
                    self._make_room(task)
        for step_key, members in gangs.items():
            placed = placer.place_gang(members)
            starts.extend(placed)
            if not placed:
                self._note_backlog(members[0], members)
                if needs_advice:
                    self._advice.want(step_key, members[0].pool)
        return starts

    def _note_backlog(self, task: WaitingTask, tasks: list[WaitingTask]) -> None:
        """Add what waits of a task's step to its pool's backlog."""
        n_tasks = sum(other.key[:3] == task.key[:3] for other in tasks)
        backlog = self.backlog.setdefault(task.pool, PoolBacklog())
        backlog.cpu += n_tasks * task.step.need.cpu
        if task.step.max_per_vm or task.step.disruption_budget:
            backlog.n_vms = max(backlog.n_vms, n_tasks)

    def _make_room(self, task: WaitingTask) -> None:
        """Stop less urgent runs where a task that must run has no place."""
        for agent, run in choose_victims(task, self._state, self._agents, self._clock):
            self._on_preempted(run, task)
            agent.stop(run.key, run.number)

    def _rooms(self) -> dict[str, PoolRoom]:
        now = self._clock.monotonic()
        pools: dict[str, PoolRoom] = {}
        for vm_id, agent in self._agents.items():
            machine = agent.vm.machine
            if self._is_leaving(machine) or not agent.is_ready(now):
                continue
            used, steps = count_steps(self._state, vm_id)
            room = VmRoom(
                vm_id=vm_id,
                born_ms=agent.vm.born_ms,
                labels=agent.vm.labels,
                free=agent.vm.capacity - used,
                tasks_of_step=steps,
                data_centre=agent.vm.data_centre,
                is_avoided=agent.health.is_avoided(now),
                is_anchored=self._is_anchored(steps),
            )
            pools.setdefault(agent.vm.pool, PoolRoom([])).vms.append(room)
        return pools

    def candidates(self, pool: str) -> tuple[str, ...]:
        """Return the VMs of a pool that take runs, those with most room first."""
        now = self._clock.monotonic()
        room = {
            vm_id: agent.vm.capacity.cpu - count_steps(self._state, vm_id)[0].cpu
            for vm_id, agent in self._agents.items()
            if agent.vm.pool == pool and agent.is_ready(now)
        }
        return tuple(sorted(room, key=lambda vm_id: (-room[vm_id], vm_id)))

    def _is_anchored(self, steps: Iterable[tuple[str, int, int]]) -> bool:
        """Return whether any of some steps runs until cancelled."""
        return any(
            self._state.jobs[job_id].spec.steps[number].is_long_running
            for job_id, _, number in steps
        )
