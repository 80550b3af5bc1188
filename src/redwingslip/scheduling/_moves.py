"""Moves of machines between pools, after what is asked of each."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..jobs import Command, ForgetVm, JobsState
from ..observe import Event, EventName, EventSink, Metrics
from ..placement import PoolLoad, SizingSettings, plan_moves
from ._agent import VmAgent
from ._board import PoolBacklog, count_steps
from ._ports import MachineOutcome, MachineState, MachineView, VmOperations
from .exceptions import CommandLostError, NotLeadingError, OrderLostError

__all__ = ["MoveKeeper", "MoveSettings"]


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How machines are moved between pools.

    Attributes
    ----------
    interval : timedelta
        Time between two looks at the pools.
    list_interval : timedelta
        Time between two readings of the platform's list of machines.
    rest_time : timedelta
        A machine is switched off when it was idle for this long, about a move's time.
    arrival_time : timedelta
        A machine that was moved counts as on its way for at most this long.
    off_time : timedelta
        A machine that was switched off is not asked for again before.
    """

    interval: timedelta = timedelta(milliseconds=100)
    list_interval: timedelta = timedelta(seconds=1)
    rest_time: timedelta = timedelta(milliseconds=1200)
    arrival_time: timedelta = timedelta(seconds=5)
    off_time: timedelta = timedelta(milliseconds=2500)


class _Arrival(msgspec.Struct, frozen=True):
    """A machine that is on its way to a pool."""

    pool: str
    room: int
    until: timedelta


class MoveKeeper:
    """Keeps the pools at the sizes that their load asks for.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    agents : mapping of str to VmAgent
        The leader's agents.
    operations : VmOperations
        Calls to the platform.
    propose : callable
        Has a command committed.
    may_order : callable
        Returns whether this leader may give orders to machines now.
    is_reserved : callable
        Returns whether a machine has another use soon.
    backlog : mapping of str to PoolBacklog
        What waits for room in each pool.
    fence : int
        The leader's term.
    clock : Clock
        The time.
    events : EventSink
        Takes the events.
    metrics : Metrics
        Takes the metrics.
    cfg, sizing : MoveSettings, SizingSettings
        The settings.
    """

    __slots__ = (
        "_agents",
        "_arrivals",
        "_backlog",
        "_cfg",
        "_clock",
        "_events",
        "_fence",
        "_idle_since",
        "_is_reserved",
        "_machines",
        "_may_order",
        "_metrics",
        "_operations",
        "_orders",
        "_planned",
        "_propose",
        "_sizing",
        "_state",
    )

    def __init__(
        self,
        *,
        state: JobsState,
        agents: Mapping[str, VmAgent],
        operations: VmOperations,
        propose: Callable[[Command], Awaitable[object]],
        may_order: Callable[[], bool],
        is_reserved: Callable[[str], bool],
        backlog: Mapping[str, PoolBacklog],
        fence: int,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
        cfg: MoveSettings,
        sizing: SizingSettings,
    ) -> None:
        self._state = state
        self._agents = agents
        self._operations = operations
        self._propose = propose
        self._may_order = may_order
        self._is_reserved = is_reserved
        self._backlog = backlog
        self._fence = fence
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._sizing = sizing
        self._machines: dict[str, MachineView] = {}
        self._idle_since: dict[str, timedelta] = {}
        self._planned: dict[str, str] = {}
        self._orders: dict[str, asyncio.Task] = {}
        self._arrivals: dict[str, _Arrival] = {}

    def is_moving(self, machine: str) -> bool:
        """Return whether a machine is about to leave its pool."""
        return machine in self._planned or machine in self._orders

    async def run(self) -> None:
        """Look at the pools until cancelled."""
        lister = asyncio.create_task(self._list_forever(), name="machine list")
        try:
            while True:
                await asyncio.sleep(self._cfg.interval.total_seconds())
                if self._may_order():
                    self._begin_planned()
                    self._plan()
                else:
                    self._planned.clear()
                    self._arrivals.clear()
        finally:
            lister.cancel()
            for task in self._orders.values():
                task.cancel()

    async def _list_forever(self) -> None:
        while True:
            try:
                views = await self._operations.list_machines()
                self._machines = {view.machine: view for view in views}
            except OrderLostError as exc:
                self._emit(EventName.WARNING, "", str(exc))
            await asyncio.sleep(self._cfg.list_interval.total_seconds())

    def _begin_planned(self) -> None:
        """Order what was planned a look ago, when no start was under way to it."""
        for machine, pool in tuple(self._planned.items()):
            del self._planned[machine]
            agent = self._agent_on(machine)
            if agent is not None and self._state.runs.get(agent.vm.vm_id):
                self._arrivals.pop(machine, None)
                continue
            task = asyncio.create_task(self._move(machine, pool, agent))
            self._orders[machine] = task
            task.add_done_callback(lambda _, name=machine: self._orders.pop(name))

    def _plan(self) -> None:
        now = self._clock.monotonic()
        self._note_arrivals(now)
        n_under_way = len(self._orders) + len(self._planned)
        for move in plan_moves(self._loads(now), n_under_way, self._sizing):
            room = self._room_for(move.machine, move.pool)
            duration = self._cfg.arrival_time if room else self._cfg.off_time
            self._planned[move.machine] = move.pool
            self._arrivals[move.machine] = _Arrival(move.pool, room, now + duration)

    def _room_for(self, machine: str, pool: str) -> int:
        """Return what a machine will add to a pool, in thousandths of a core."""
        if any(p.name == pool and p.is_standby for p in self._state.plan.pools):
            return 0
        agent = self._agent_on(machine)
        if agent is not None:
            return agent.vm.capacity.cpu
        view = self._machines.get(machine)
        return 0 if view is None else view.capacity.cpu

    def _loads(self, now: timedelta) -> tuple[PoolLoad, ...]:
        return tuple(
            self._standby_load(pool.name)
            if pool.is_standby
            else self._serving_load(pool.name, now)
            for pool in self._state.plan.pools
        )

    def _standby_load(self, pool: str) -> PoolLoad:
        idle = tuple(
            view.machine
            for view in self._machines.values()
            if view.pool == pool
            and view.state is MachineState.UP
            and view.machine not in self._arrivals
            and self._is_free(view.machine)
        )
        return PoolLoad(pool=pool, is_standby=True, idle=idle)

    def _serving_load(self, pool: str, now: timedelta) -> PoolLoad:
        used_cpu = room = vm_room = n_vms = 0
        idle: list[str] = []
        for vm_id, agent in self._agents.items():
            vm = agent.vm
            if vm.pool != pool or not agent.is_ready(now) or self.is_moving(vm.machine):
                continue
            used, steps = count_steps(self._state, vm_id)
            used_cpu += used.cpu
            room += vm.capacity.cpu
            vm_room = max(vm_room, vm.capacity.cpu)
            n_vms += 1
            if steps:
                self._idle_since.pop(vm.machine, None)
                continue
            self._idle_since.setdefault(vm.machine, now)
            if vm.machine and self._is_free(vm.machine):
                idle.append(vm.machine)
        backlog = self._backlog.get(pool, PoolBacklog())
        if not vm_room:
            # No VM is up to be measured; the platform's list knows the machines.
            rooms = [v.capacity.cpu for v in self._machines.values()]
            vm_room = max(rooms, default=0)
        arriving = [a for a in self._arrivals.values() if a.pool == pool]
        idle.sort(key=lambda machine: (self._idle_since[machine], machine))
        return PoolLoad(
            pool=pool,
            used=used_cpu,
            waiting=backlog.cpu,
            n_missing=max(0, backlog.n_vms - len(arriving)),
            room=room + sum(arrival.room for arrival in arriving),
            vm_room=vm_room,
            n_vms=n_vms + len(arriving),
            idle=tuple(idle),
            resting=tuple(
                machine
                for machine in idle
                if now - self._idle_since[machine] >= self._cfg.rest_time
            ),
        )

    def _is_free(self, machine: str) -> bool:
        return not self.is_moving(machine) and not self._is_reserved(machine)

    def _note_arrivals(self, now: timedelta) -> None:
        """Drop the machines that have arrived or should have."""
        for machine, arrival in tuple(self._arrivals.items()):
            agent = self._agent_on(machine)
            has_come = (
                agent is not None
                and agent.vm.pool == arrival.pool
                and agent.is_ready(now)
                and not self.is_moving(machine)
            )
            if has_come or now > arrival.until:
                del self._arrivals[machine]

    def _agent_on(self, machine: str) -> VmAgent | None:
        for agent in self._agents.values():
            if agent.vm.machine == machine:
                return agent
        return None

    async def _move(self, machine: str, pool: str, agent: VmAgent | None) -> None:
        """Order one move and take note that its VM is gone."""
        outcome = await self._operations.move(machine, pool, fence=self._fence)
        self._metrics.add_machine_order(kind="move", outcome=outcome.value)
        self._emit(EventName.MOVE_ORDERED, machine, f"to {pool}: {outcome.value}")
        self._idle_since.pop(machine, None)
        if outcome is not MachineOutcome.DONE:
            self._arrivals.pop(machine, None)
            return
        if agent is None:
            return
        vm = agent.vm
        command = ForgetVm(vm_id=vm.vm_id, born_ms=vm.born_ms, now_ms=0)
        try:
            await self._propose(command)
        except (NotLeadingError, CommandLostError) as exc:
            self._emit(EventName.WARNING, machine, str(exc))

    def _emit(self, name: EventName, machine: str, detail: str) -> None:
        self._events.emit(Event(name=name, vm=machine, term=self._fence, detail=detail))
