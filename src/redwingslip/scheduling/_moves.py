"""Moves of machines between pools, according to the load of each pool."""

import asyncio
from collections.abc import Iterable, Iterator
from datetime import timedelta

import msgspec

from ..jobs import Amounts, RecordMove, SilentVm
from ..observe import EventName
from ..placement import (
    ArrivalTrend,
    DemandForecast,
    PoolLoad,
    plan_moves,
    with_reserves,
)
from ._agent import VmAgent
from ._forecast_reports import ForecastReports
from ._job_index import PoolBacklog, non_preemptible_need
from ._machines import MachineManager
from ._platform_evidence import find_ended
from ._ports import MachineOutcome, MachineState, MachineView
from ._supervise import run_forever
from .exceptions import (
    CommandOutcomeUnknownError,
    NotLeadingError,
    OrderOutcomeUnknownError,
)

__all__ = ["ArrivingVm", "MoveManager"]

MS = timedelta(milliseconds=1)


class _Arrival(msgspec.Struct, frozen=True):
    """A machine that is being moved to a pool.

    Attributes
    ----------
    room : int
        CPU that it adds to the pool, in thousandths of a core.
    until : timedelta
        Monotonic time after which it no longer counts as arriving.
    """

    pool: str
    room: int
    until: timedelta


class ArrivingVm(msgspec.Struct, frozen=True):
    """A machine on its way to a pool, and the VM that it will have there.

    Attributes
    ----------
    expected_at, until : timedelta
        Monotonic times at which it is expected to serve, and after which it no longer
        counts as arriving.
    """

    machine: str
    labels: tuple[str, ...]
    capacity: Amounts
    expected_at: timedelta
    until: timedelta


class MoveManager(MachineManager):
    """Moves machines so that the size of each pool follows its load.

    A move of an idle machine is ordered one interval after it was planned, and only if
    no run was placed on the machine in between. A machine in use gets no new runs, and
    moves once its runs have ended.

    Parameters
    ----------
    trend : ArrivalTrend
        Forecast of the load of each pool.
    forecast : DemandForecast or None
        Forecast from which the reserves of pools follow; None for no reserves.
    **options : dict
        Arguments of `MachineManager`.
    """

    def __init__(
        self,
        *,
        trend: ArrivalTrend,
        forecast: DemandForecast | None = None,
        **options: object,
    ) -> None:
        super().__init__(**options)
        self._trend = trend
        self._forecast = forecast
        self._reports = (
            None if forecast is None else ForecastReports(self._term, forecast)
        )

    def _init_state(self) -> None:
        self._machine_views: dict[str, MachineView] = {}
        self._idle_since: dict[str, timedelta] = {}
        self._planned_pools: dict[str, str] = {}
        self._draining_until: dict[str, timedelta] = {}
        self._arrivals: dict[str, _Arrival] = {}

    def report_forecast_failure(self, exc: Exception) -> None:
        """Log, once for each kind of error, that the forecast fails."""
        self._reports.report_failure(exc)

    async def run(self) -> None:
        """Check the pools until cancelled."""
        name = "machine list"
        work = run_forever(name, self._list_machines_forever, self._term.events)
        list_task = asyncio.create_task(work, name=name)
        try:
            while True:
                await asyncio.sleep(self._cfg.moves.interval.total_seconds())
                if self._term.is_leading():
                    self._begin_planned_moves()
                    self._plan_moves()
                else:
                    for machine in tuple(self._planned_pools):
                        self._cancel_planned_move(machine)
        finally:
            list_task.cancel()
            self._cancel_orders()

    async def _list_machines_forever(self) -> None:
        while True:
            silent_vms = tuple(self._state.silent_vms)
            try:
                views = await self._operations.list_machines()
                self._machine_views = {view.machine: view for view in views}
                self._adopt_arrivals()
                await self._forget_ended(silent_vms)
            except OrderOutcomeUnknownError as exc:
                self._term.emit(EventName.WARNING, detail=str(exc))
            await asyncio.sleep(self._cfg.moves.list_interval.total_seconds())

    def _adopt_arrivals(self) -> None:
        """Count the machines that an earlier leader has moved, and that have no VM yet.

        The VM of a machine is removed when its move is ordered, and the next one
        reports itself some seconds later.
        """
        now = self._term.clock.monotonic()
        for machine, age_ms in self._state.machine_orders.ages_ms():
            ordered_at = now - age_ms * MS
            until = ordered_at + self._cfg.moves.arrival_time
            view = self._machine_views.get(machine)
            if view is None or view.state is not MachineState.UP:
                continue
            if ordered_at > self._term.started_at or now >= until:
                continue
            if machine in self._arrivals or self._machines.is_claimed(machine):
                continue
            cpu = self._added_cpu(machine, view.pool)
            if cpu and self._machines.agent_on(machine) is None:
                self._arrivals[machine] = _Arrival(view.pool, cpu, until)

    async def _forget_ended(self, silent_vms: Iterable[SilentVm]) -> None:
        """Remove the silent VMs that have ended, as the platform's list shows."""
        ended = find_ended(silent_vms, self._machine_views, self._state)
        for silent, reason in tuple(ended):
            await self._term.forget_vm(silent, reason, has_crashed=True)

    def _begin_planned_moves(self) -> None:
        """Order the planned moves of machines without runs.

        The moves of idle machines that got runs since are cancelled, and so are those
        of machines in use whose runs last too long.
        """
        now = self._term.clock.monotonic()
        for machine, pool in tuple(self._planned_pools.items()):
            agent = self._machines.agent_on(machine)
            if self._is_evacuated(machine, agent):
                self._cancel_planned_move(machine)
                continue
            if agent is not None and self._state.runs.get(agent.vm.vm_id):
                drain_end = self._draining_until.get(machine)
                if drain_end is None or now >= drain_end:
                    self._cancel_planned_move(machine)
                continue
            del self._planned_pools[machine]
            self._draining_until.pop(machine, None)
            self._begin_order(machine, self._move(machine, pool, agent))

    def _is_evacuated(self, machine: str, agent: VmAgent | None) -> bool:
        """Return whether a machine is in a data centre that is being evacuated.

        The last report of its VM counts; for one that is off, the platform's list.
        """
        if agent is not None:
            return agent.is_evacuated
        view = self._machine_views.get(machine)
        return view is not None and self._state.evacuations.includes(view.data_centre)

    def _cancel_planned_move(self, machine: str) -> None:
        """Cancel the planned move of a machine and release its claim."""
        self._planned_pools.pop(machine, None)
        self._draining_until.pop(machine, None)
        self._arrivals.pop(machine, None)
        self._machines.release(machine, self)

    def _recall(self, machine: str) -> bool:
        """Give up a planned move; return False if it has been ordered."""
        if machine not in self._planned_pools:
            return False
        self._cancel_planned_move(machine)
        return True

    def _end_order(self, machine: str) -> None:
        super()._end_order(machine)
        self._machines.release(machine, self)

    def _plan_moves(self) -> None:
        now = self._term.clock.monotonic()
        if not self.has_surveyed(now):
            return
        self._drop_finished_arrivals(now)
        n_in_progress = len(self._order_tasks) + len(self._planned_pools)
        loads = self._loads(now)
        if self._forecast is not None:
            loads = self._add_reserves(loads)
        self._machines.is_short = any(
            load.is_short(self._cfg.sizing) for load in loads if not load.is_standby
        )
        for move in plan_moves(loads, n_in_progress, self._cfg.sizing):
            if not self._machines.may_order(move.machine):
                continue
            if not self._machines.claim(move.machine, self, self._recall):
                continue
            added_cpu = self._added_cpu(move.machine, move.pool)
            duration = (
                self._cfg.moves.arrival_time if added_cpu else self._cfg.moves.off_time
            )
            agent = self._machines.agent_on(move.machine)
            if agent is not None and self._state.runs.get(agent.vm.vm_id):
                self._draining_until[move.machine] = now + self._cfg.moves.max_drain
                duration += self._cfg.moves.max_drain
            self._planned_pools[move.machine] = move.pool
            self._arrivals[move.machine] = _Arrival(
                move.pool, added_cpu, now + duration
            )

    def _add_reserves(self, loads: tuple[PoolLoad, ...]) -> tuple[PoolLoad, ...]:
        """Add the reserves, or none if the forecast fails, so that moves go on."""
        now_ms = self._term.now_ms()
        try:
            forecast_loads = with_reserves(loads, self._forecast, now_ms)
            self._reports.report(forecast_loads, now_ms)
        except Exception as exc:
            self._reports.report_failure(exc)
            return loads
        return tuple(entry.load for entry in forecast_loads)

    def has_surveyed(self, now: timedelta) -> bool:
        """Return whether enough VMs have answered to know the capacity of the pools."""
        if now >= self._term.started_at + self._cfg.moves.survey_time:
            return True
        agents = self._machines.agents.values()
        n_responsive = sum(a.is_serving(now) or a.vm.is_draining for a in agents)
        return n_responsive > 0 and n_responsive >= self._cfg.moves.survey_part * len(
            agents
        )

    def arriving_cpu(self, now: timedelta) -> dict[str, list[tuple[int, timedelta]]]:
        """Return the machines on their way, by pool: their CPU and time since the plan.

        Machines whose present runs must end first count as planned in the future.
        """
        arriving: dict[str, list[tuple[int, timedelta]]] = {}
        for arrival in self._arrivals.values():
            planned_at = arrival.until - self._cfg.moves.arrival_time
            arriving.setdefault(arrival.pool, []).append(
                (arrival.room, now - planned_at)
            )
        return arriving

    def standby_cpu(self) -> int:
        """Return the CPU of the machines that are switched off and may be moved."""
        return sum(
            self._machine_views[machine].capacity.cpu
            for pool in self._state.plan.pools
            if pool.is_standby
            for machine in self._standby_load(pool.name).idle
        )

    def _added_cpu(self, machine: str, pool: str) -> int:
        """Return the CPU that a machine adds to a pool, in thousandths of a core."""
        if any(p.name == pool and p.is_standby for p in self._state.plan.pools):
            return 0
        agent = self._machines.agent_on(machine)
        if agent is not None:
            return agent.vm.capacity.cpu
        view = self._machine_views.get(machine)
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
            for view in self._machine_views.values()
            if view.pool == pool
            and view.state is MachineState.UP
            and view.machine not in self._arrivals
            and not self._machines.is_claimed(view.machine)
            and not self._state.evacuations.includes(view.data_centre)
            and self._machines.may_order(view.machine)
        )
        # Slow machines are taken last.
        idle = sorted(idle, key=lambda m: -self._machines.speed_of_machine(m))
        return PoolLoad(pool=pool, is_standby=True, idle=tuple(idle))

    def _serving_load(self, pool: str, now: timedelta) -> PoolLoad:
        used_cpu = non_preemptible_cpu = total_cpu = max_vm_cpu = n_vms = 0
        idle: list[str] = []
        n_runs_by_machine: dict[str, int] = {}
        ejected = self._machines.ejected_vms(now)
        for vm_id, agent in self._machines.agents.items():
            vm = agent.vm
            if vm.pool != pool or self._machines.is_claimed(vm.machine):
                continue
            if agent.is_evacuated:
                # Its room is replaced, also for the long-running tasks that must leave.
                _, steps = self._state.usage.of_vm(vm_id)
                stranded = non_preemptible_need(self._state, steps).cpu
                used_cpu += stranded
                non_preemptible_cpu += stranded
                self._idle_since.pop(vm.machine, None)
                continue
            if not agent.is_ready(now):
                continue
            if vm_id in ejected:
                # Its room is replaced until it takes runs again.
                continue
            used, steps = self._state.usage.of_vm(vm_id)
            non_preemptible = non_preemptible_need(self._state, steps).cpu
            # Runs that hold cores of a slow VM do the work of fewer.
            speed = self._machines.speed(vm_id)
            lost_share = 1 - speed
            used_cpu += used.cpu - int(lost_share * (used.cpu - non_preemptible))
            non_preemptible_cpu += non_preemptible
            total_cpu += vm.capacity.cpu
            total_cpu -= int(lost_share * max(0, vm.capacity.cpu - non_preemptible))
            max_vm_cpu = max(max_vm_cpu, vm.capacity.cpu)
            n_vms += 1
            if steps:
                self._idle_since.pop(vm.machine, None)
                is_short_only = vm.machine and not non_preemptible
                if is_short_only and self._machines.may_order(vm.machine):
                    n_runs_by_machine[vm.machine] = steps.total()
                continue
            self._idle_since.setdefault(vm.machine, now)
            if vm.machine and self._machines.may_order(vm.machine):
                idle.append(vm.machine)
        backlog = self._backlog.get(pool, PoolBacklog())
        if not max_vm_cpu:
            # No VM of the pool is up; use the capacities in the platform's list.
            listed_cpu = [v.capacity.cpu for v in self._machine_views.values()]
            max_vm_cpu = max(listed_cpu, default=0)
        arriving = [a for a in self._arrivals.values() if a.pool == pool]
        # Slow machines are given up first.
        speed_of = self._machines.speed_of_machine
        idle.sort(key=lambda m: (speed_of(m), self._idle_since[m], m))
        return PoolLoad(
            pool=pool,
            used=used_cpu,
            waiting=backlog.cpu,
            expected=non_preemptible_cpu
            + self._trend.expected_cpu(pool, self._term.now_ms()),
            n_missing=max(
                0, max(backlog.n_vms, self._machines.n_vms_needed[pool]) - len(arriving)
            ),
            room=total_cpu + sum(arrival.room for arrival in arriving),
            vm_room=max_vm_cpu,
            n_vms=n_vms + len(arriving),
            idle=tuple(idle),
            resting=tuple(
                machine
                for machine in idle
                if now - self._idle_since[machine] >= self._cfg.moves.rest_time
            ),
            reclaimable=tuple(sorted(n_runs_by_machine, key=n_runs_by_machine.get)),
            non_preemptible=non_preemptible_cpu,
            waiting_long_running=backlog.long_running_cpu,
        )

    def arriving(self, pool: str) -> Iterator[ArrivingVm]:
        """Yield the VMs on their way to a pool whose labels are known."""
        cfg = self._cfg
        for machine, arrival in self._arrivals.items():
            if arrival.pool != pool:
                continue
            agent = self._machines.agent_on(machine)
            known = self._machine_views.get(machine) if agent is None else agent.vm
            if known is not None:
                expected_at = arrival.until - cfg.moves.arrival_time + cfg.arrivals.lead
                yield ArrivingVm(
                    machine, known.labels, known.capacity, expected_at, arrival.until
                )

    def _drop_finished_arrivals(self, now: timedelta) -> None:
        """Drop the arrivals of machines that have arrived or whose time has passed."""
        for machine, arrival in tuple(self._arrivals.items()):
            agent = self._machines.agent_on(machine)
            has_arrived = (
                agent is not None
                and agent.vm.pool == arrival.pool
                and agent.is_ready(now)
                and not self._machines.is_claimed(machine)
            )
            is_useless = self._is_evacuated(machine, agent)
            if has_arrived or is_useless or now > arrival.until:
                del self._arrivals[machine]

    async def _record_move(self, machine: str) -> bool:
        """Commit the record of a move; return whether it may be ordered.

        From the record a later leader knows for which machines it must wait for
        `takeover_delay`; it gives orders for all others immediately.
        """
        command = RecordMove(machine=machine, now_ms=self._term.now_ms())
        try:
            await self._term.propose(command)
        except (NotLeadingError, CommandOutcomeUnknownError) as exc:
            self._term.emit(EventName.WARNING, vm=machine, detail=str(exc))
            return False
        return self._term.is_leading()

    async def _move(self, machine: str, pool: str, agent: VmAgent | None) -> None:
        """Record and order one move, and remove the VM that it ends.

        A VM in the target pool goes on: its machine is there already.
        """
        is_recorded = await self._record_move(machine)
        # A round of placement whose commit was in progress may have started runs.
        has_runs = agent is not None and self._state.runs.get(agent.vm.vm_id)
        if not is_recorded or has_runs:
            self._arrivals.pop(machine, None)
            return
        outcome = await self._operations.move(machine, pool, fence=self._term.fence)
        self._count_outcome("move", outcome)
        self._term.emit(
            EventName.MOVE_ORDERED, vm=machine, detail=f"to {pool}: {outcome.value}"
        )
        self._idle_since.pop(machine, None)
        if outcome is not MachineOutcome.DONE:
            self._arrivals.pop(machine, None)
        elif agent is not None and agent.vm.pool != pool:
            await self._term.forget_vm(agent.vm, f"its machine moves to {pool}")
