"""Maintenance waves: which machines are drained and maintained, and when."""

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..jobs import (
    ActiveRun,
    Command,
    ForgetVm,
    JobsState,
    RecordMaintenance,
    VmRecord,
    WaveRecord,
    iter_tasks,
)
from ..observe import Event, EventName, EventSink, Metrics
from ._agent import VmAgent
from ._board import PoolBacklog
from ._ports import MachineOutcome, VmOperations
from .exceptions import CommandLostError, NotLeadingError

__all__ = ["WaveKeeper", "WaveSettings"]

MS = timedelta(milliseconds=1)
AT_WORK_PERCENT = 100


class WaveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How maintenance waves are carried out.

    Attributes
    ----------
    interval : timedelta
        Time between two looks at the open waves.
    takeover_delay : timedelta
        A new leader orders nothing for this long, so that two leaders never take
        turns at one machine (platform contract: its lease time).
    max_drain : timedelta
        A machine is maintained after this long, though short tasks still run on it.
    down_timeout : timedelta
        A machine that has not come back counts as down for at most this long.
    retry_delay : timedelta
        Wait before an order is repeated that the platform did not carry out.
    cycle : timedelta
        What one machine takes from the beginning of its drain until it serves again,
        for the pace of a wave.
    safety : float
        Part of a wave's time that is kept back for orders that are not carried out.
    pool_share : float
        Part of a pool's VMs that may be away at once while the pace allows a choice.
    """

    interval: timedelta = timedelta(milliseconds=100)
    takeover_delay: timedelta = timedelta(seconds=3)
    max_drain: timedelta = timedelta(seconds=4)
    down_timeout: timedelta = timedelta(seconds=12)
    retry_delay: timedelta = timedelta(seconds=1)
    cycle: timedelta = timedelta(seconds=5)
    safety: float = 0.35
    pool_share: float = 0.2


class WaveKeeper:
    """Carries out the waves of the replicated state while its leader leads.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    agents : mapping of str to VmAgent
        The leader's agents, kept up to date by it.
    operations : VmOperations
        Calls to the platform.
    propose : callable
        Has a command committed.
    is_leading : callable
        Returns whether no other leader can exist.
    is_moving : callable
        Returns whether a machine is about to leave its pool.
    fence : int
        The leader's term.
    clock : Clock
        The time.
    now_ms : callable
        Returns the leader's Unix time.
    backlog : mapping of str to PoolBacklog
        What waits for room in each pool.
    events : EventSink
        Takes the events.
    metrics : Metrics
        Takes the metrics.
    cfg : WaveSettings
        The settings.
    """

    __slots__ = (
        "_agents",
        "_backlog",
        "_begun_at",
        "_cfg",
        "_clock",
        "_cordoned",
        "_events",
        "_fence",
        "_is_leading",
        "_is_moving",
        "_metrics",
        "_now_ms",
        "_operations",
        "_orders",
        "_propose",
        "_retry_at",
        "_since",
        "_state",
    )

    def __init__(
        self,
        *,
        state: JobsState,
        agents: Mapping[str, VmAgent],
        operations: VmOperations,
        propose: Callable[[Command], Awaitable[object]],
        is_leading: Callable[[], bool],
        is_moving: Callable[[str], bool],
        fence: int,
        clock: Clock,
        now_ms: Callable[[], int],
        backlog: Mapping[str, PoolBacklog],
        events: EventSink,
        metrics: Metrics,
        cfg: WaveSettings,
    ) -> None:
        self._state = state
        self._agents = agents
        self._operations = operations
        self._propose = propose
        self._is_leading = is_leading
        self._is_moving = is_moving
        self._fence = fence
        self._clock = clock
        self._now_ms = now_ms
        self._backlog = backlog
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._since = clock.monotonic()
        self._cordoned: dict[str, timedelta] = {}
        self._begun_at: dict[str, timedelta] = {}
        self._retry_at: dict[str, timedelta] = {}
        self._orders: dict[str, asyncio.Task] = {}

    def is_cordoned(self, machine: str) -> bool:
        """Return whether a machine gets no new runs since its turn is near."""
        return machine in self._cordoned or machine in self._orders

    def may_order(self) -> bool:
        """Return whether this leader may give orders to machines now."""
        delay = self._cfg.takeover_delay
        return self._is_leading() and self._clock.monotonic() >= self._since + delay

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._cfg.interval.total_seconds())
                if not self.may_order():
                    continue
                now = self._clock.monotonic()
                for wave in tuple(self._state.waves.values()):
                    if not wave.is_complete:
                        self._advance(wave, now)
        finally:
            for task in self._orders.values():
                task.cancel()

    def _advance(self, wave: WaveRecord, now: timedelta) -> None:
        """Cordon the next machines and order the maintenance of drained ones."""
        left = [
            machine
            for machine in wave.machines
            if machine not in wave.begun and machine not in wave.gone
        ]
        n_down = sum(self._is_down(wave, machine, now) for machine in wave.machines)
        self._cordon(wave, left, now)
        for machine in left:
            if n_down >= max(1, wave.max_at_once):
                return
            if self._is_due(machine, wave, now):
                n_down += 1
                task = asyncio.create_task(self._maintain(wave, machine))
                self._orders[machine] = task
                task.add_done_callback(lambda _, name=machine: self._end_order(name))

    def _end_order(self, machine: str) -> None:
        self._orders.pop(machine, None)

    def _cordon(self, wave: WaveRecord, left: list[str], now: timedelta) -> None:
        """Begin to drain the machines whose turn is next.

        As many as the pace of the wave needs are taken in any case, and more where
        nobody misses them: idle machines of pools in which nothing waits.
        """
        n_away = sum(machine in self._cordoned for machine in left) + sum(
            self._is_down(wave, machine, now)
            for machine in wave.machines
            if machine not in self._cordoned
        )
        most = max(1, wave.max_at_once)
        n_needed = min(most, self._n_needed(wave, len(left)))
        candidates = [machine for machine in left if machine not in self._cordoned]
        candidates.sort(key=lambda machine: (*self._cost(machine), machine))
        for machine in candidates:
            if n_away >= most:
                return
            if self._is_moving(machine):
                continue
            if n_away < n_needed or self._is_spare(machine):
                self._cordoned[machine] = now
                n_away += 1

    def _n_needed(self, wave: WaveRecord, n_left: int) -> int:
        """Return how many machines must be away at once for the wave to be in time."""
        kept_ms = self._cfg.safety * wave.duration_ms
        left_ms = max(1, wave.due_ms - kept_ms - self._now_ms())
        return math.ceil(n_left * (self._cfg.cycle / MS) / left_ms)

    def _cost(self, machine: str) -> tuple[int, int]:
        """Return what its pool and its runs lose by a machine's absence."""
        agent = self._agent_on(machine)
        if agent is None:
            return (0, 0)
        backlog = self._backlog.get(agent.vm.pool, PoolBacklog())
        return (backlog.cpu, self._n_runs(machine))

    def _is_spare(self, machine: str) -> bool:
        """Return whether nobody misses a machine now."""
        agent = self._agent_on(machine)
        if agent is None:
            return True
        vm = agent.vm
        runs = self._state.runs_of(vm.vm_id, vm.born_ms)
        if vm.pool in self._backlog:
            return False
        if not all(self._state.step(run.key).is_long_running for run in runs):
            return False
        pool = [a.vm.machine for a in self._agents.values() if a.vm.pool == vm.pool]
        n_cordoned = sum(name in self._cordoned for name in pool)
        return n_cordoned + 1 <= max(1, self._cfg.pool_share * len(pool))

    def _is_due(self, machine: str, wave: WaveRecord, now: timedelta) -> bool:
        """Return whether a machine can be maintained now."""
        if machine in self._orders or now < self._retry_at.get(machine, now):
            return False
        since = self._cordoned.get(machine)
        if since is None:
            return False
        agent = self._agent_on(machine)
        if agent is None:
            return True
        runs = self._state.runs_of(agent.vm.vm_id, agent.vm.born_ms)
        if not self._keeps_budgets(runs):
            return False
        is_drained = all(self._state.step(r.key).is_long_running for r in runs)
        return is_drained or now >= since + self._cfg.max_drain

    def _keeps_budgets(self, runs: tuple[ActiveRun, ...]) -> bool:
        """Return whether ending some runs takes no step beyond its budget."""
        taken = Counter(run.key[:3] for run in runs)
        for run in runs:
            step = self._state.step(run.key)
            if not step.disruption_budget:
                continue
            n_away = self._n_away(run) + taken[run.key[:3]]
            if n_away > step.disruption_budget:
                return False
        return True

    def _n_away(self, run: ActiveRun) -> int:
        """Return how many tasks of a run's step, on other VMs, are not at work."""
        job = self._state.jobs[run.key.job_id]
        n_away = 0
        for key, task in iter_tasks(job):
            if key[:3] != run.key[:3]:
                continue
            is_elsewhere = all(r.vm_id != run.vm_id for r in task.runs)
            if is_elsewhere and not any(
                self._is_at_work(key, r.number, r.vm_id) for r in task.runs
            ):
                n_away += 1
        return n_away

    def _is_at_work(self, key: tuple, number: int, vm_id: str) -> bool:
        agent = self._agents.get(vm_id)
        if agent is None or not agent.lease.is_in_contact(self._clock.monotonic()):
            return False
        if self._is_being_ordered(agent.vm.machine):
            return False
        listed = agent.listed.get((key, number))
        return listed is not None and listed.percent >= AT_WORK_PERCENT

    def _is_being_ordered(self, machine: str) -> bool:
        """Return whether an order may end everything on a machine at any moment."""
        if machine in self._orders:
            return True
        return any(
            machine in wave.ordered and machine not in wave.begun
            for wave in self._state.waves.values()
        )

    def _is_down(self, wave: WaveRecord, machine: str, now: timedelta) -> bool:
        """Return whether a machine may be down for its maintenance."""
        if machine in self._orders:
            return True
        if machine not in wave.ordered:
            return False
        if machine not in wave.begun:
            return True
        begun_at = self._begun_at.get(machine, self._since)
        if now > begun_at + self._cfg.down_timeout:
            return False
        agent = self._agent_on(machine)
        return agent is None or not agent.is_ready(now)

    def _agent_on(self, machine: str) -> VmAgent | None:
        found = None
        for agent in self._agents.values():
            if agent.vm.machine == machine and (
                found is None or agent.vm.born_ms > found.vm.born_ms
            ):
                found = agent
        return found

    def _n_runs(self, machine: str) -> int:
        agent = self._agent_on(machine)
        if agent is None:
            return 0
        return len(self._state.runs.get(agent.vm.vm_id, ()))

    async def _maintain(self, wave: WaveRecord, machine: str) -> None:
        """Order the maintenance of one machine, and take note of its beginning."""
        try:
            await self._record(wave, ordered=(machine,))
            agent = self._agent_on(machine)
            outcome = await self._operations.maintain(
                machine, wave.number, fence=self._fence
            )
            self._events.emit(
                Event(
                    name=EventName.MAINTENANCE_ORDERED,
                    wave=str(wave.number),
                    vm=machine,
                    term=self._fence,
                    detail=outcome.value,
                )
            )
            self._metrics.add_machine_order(kind="maintenance", outcome=outcome.value)
            if outcome is MachineOutcome.DONE:
                self._begun_at[machine] = self._clock.monotonic()
                await self._record(wave, begun=(machine,))
                self._cordoned.pop(machine, None)
                if agent is not None:
                    await self._forget(agent.vm)
            elif outcome in (
                MachineOutcome.UNKNOWN_MACHINE,
                MachineOutcome.NOT_OF_WAVE,
            ):
                self._cordoned.pop(machine, None)
                await self._record(wave, gone=(machine,))
            else:
                self._retry_at[machine] = (
                    self._clock.monotonic() + self._cfg.retry_delay
                )
                if outcome is not MachineOutcome.NO_ANSWER:
                    await self._record(wave, given_up=(machine,))
        except (NotLeadingError, CommandLostError) as exc:
            self._events.emit(
                Event(name=EventName.WARNING, vm=machine, detail=str(exc))
            )

    async def _record(self, wave: WaveRecord, **changes: tuple[str, ...]) -> None:
        command = RecordMaintenance(
            number=wave.number, now_ms=self._now_ms(), **changes
        )
        await self._propose(command)

    async def _forget(self, vm: VmRecord) -> None:
        await self._propose(
            ForgetVm(vm_id=vm.vm_id, born_ms=vm.born_ms, now_ms=self._now_ms())
        )
