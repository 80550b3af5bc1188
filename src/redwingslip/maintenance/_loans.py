"""Loans of spare VMs to pools that are short for long."""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from ..fleet import (
    BeginMove,
    FleetView,
    PoolBudget,
    VmRecord,
    VmSpec,
    is_loan_allowed,
    wished_pool,
)
from ..peers._messages import PoolDemand
from ._settings import MoveSettings

__all__ = ["LoanPlanner", "PoolTrend"]

BudgetOf = Callable[[str], PoolBudget]


class PoolTrend:
    """The demand on one pool that lasted through whole windows.

    Only a shortage that lasted through the whole window counts, and only slots that
    were idle for most of it: a short peak neither borrows a VM nor keeps one.

    Parameters
    ----------
    settings : MoveSettings
        Length and number of the windows.
    """

    __slots__ = ("_began_at", "_idle", "_n_idle", "_n_short", "_settings", "_short")

    def __init__(self, settings: MoveSettings) -> None:
        self._settings = settings
        self._short: deque[int] = deque(maxlen=settings.n_windows)
        self._idle: deque[int] = deque(maxlen=settings.n_windows)
        self.restart()

    def restart(self) -> None:
        """Forget everything seen, since the pool is about to change."""
        self._short.clear()
        self._idle.clear()
        self._began_at: timedelta | None = None
        self._n_short: list[int] = []
        self._n_idle: list[int] = []

    def observe(self, msg: PoolDemand, now: timedelta) -> None:
        """Take in one report of the pool's dispatcher."""
        if self._began_at is not None:
            self._close_window(now)
        if self._began_at is None:
            self._began_at = now
        n_waiting = sum(team.n_waiting for team in msg.teams)
        # What waits beside idle slots waits for its team's limit, not for a VM.
        self._n_short.append(0 if msg.n_idle else n_waiting)
        self._n_idle.append(msg.n_idle)

    def _close_window(self, now: timedelta) -> None:
        """Keep what a window that is over has shown."""
        age = now - self._began_at
        if age < self._settings.window:
            return
        if age >= 2 * self._settings.window:
            # No reports for a whole window: what came before proves nothing now.
            self.restart()
            return
        self._short.append(min(self._n_short))
        n_peak = int(len(self._n_idle) * self._settings.peak_part)
        self._idle.append(sorted(self._n_idle)[n_peak])
        self._began_at = now
        self._n_short = []
        self._n_idle = []

    @property
    def _is_full(self) -> bool:
        return len(self._short) == self._settings.n_windows

    @property
    def n_short(self) -> int:
        """Return the requests that waited for a slot all the time."""
        return min(self._short) if self._is_full else 0

    @property
    def n_idle(self) -> int:
        """Return the slots that were idle but for short peaks."""
        return min(self._idle) if self._is_full else 0


class LoanPlanner:
    """Lends VMs of spare pools to others and takes them back.

    Parameters
    ----------
    settings : MoveSettings
        Times and sizes.
    """

    __slots__ = ("_settings", "_trends")

    def __init__(self, settings: MoveSettings) -> None:
        self._settings = settings
        self._trends: dict[str, PoolTrend] = {}

    def demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Take in what a pool is asked for."""
        trend = self._trends.get(msg.pool)
        if trend is None:
            trend = self._trends[msg.pool] = PoolTrend(self._settings)
        trend.observe(msg, now)

    def plan(
        self, view: FleetView, budget_of: BudgetOf, now: timedelta
    ) -> Iterator[BeginMove]:
        """Yield the moves that slow demand is worth."""
        for gone in self._trends.keys() - view.dispatchers.keys():
            del self._trends[gone]
        self._restart_changing(view)
        moved: set[str] = set()
        for move in [*self._lend(view, budget_of, moved), *self._give_back(view)]:
            vm = view.vms[move.vm]
            if move.vm not in moved and budget_of(vm.pool).take(vm):
                moved.add(move.vm)
                yield move

    def _restart_changing(self, view: FleetView) -> None:
        """Judge a pool anew once a VM that comes or goes has arrived."""
        for vm in view.vms.values():
            is_arriving = vm.lent and not vm.joined
            pools = (vm.pool, vm.move_to) if vm.move_to or is_arriving else ()
            for pool in pools:
                if pool in self._trends:
                    self._trends[pool].restart()

    def _lend(
        self, view: FleetView, budget_of: BudgetOf, moved: set[str]
    ) -> Iterator[BeginMove]:
        short = [pool for pool, trend in self._trends.items() if trend.n_short]
        short.sort(key=lambda pool: (-self._trends[pool].n_short, pool))
        lent: set[str] = set()
        for pool in short:
            spec = view.pool(pool)
            if spec is None or spec.spare:
                continue
            n_short = self._trends[pool].n_short
            for vm in self._lenders(view, pool):
                if vm.name in lent or not self._is_worth(view, vm, n_short):
                    continue
                if budget_of(vm.pool).violation(vm) is not None:
                    continue
                lent.add(vm.name)
                n_short -= vm.slots
                yield BeginMove(vm=vm.name, to_pool=pool, loan=True)

    def _is_worth(self, view: FleetView, vm: VmRecord, n_short: int) -> bool:
        """Return whether the waiting that a VM saves outweighs the price of a move."""
        saved = min(n_short, vm.slots) * self._settings.horizon.total_seconds()
        return saved > 0 and saved >= view.site.move_price * view.site.move_weight

    def _lenders(self, view: FleetView, pool: str) -> list[VmRecord]:
        """Return the VMs that may go to a pool, those at home first.

        Among them come first those in data centres where the pool has the fewest.
        """
        here = Counter(vm.data_centre for vm in view.vms_of(pool))
        needed = _least_size(view, pool)
        vms = [
            vm
            for vm in view.vms.values()
            if vm.is_available
            and vm.pool != pool
            and self._is_free(view, vm)
            and _is_as_large(view.vm_spec(vm.name), needed)
        ]
        return sorted(vms, key=lambda vm: (vm.lent, here[vm.data_centre], vm.name))

    def _is_free(self, view: FleetView, vm: VmRecord) -> bool:
        if not is_loan_allowed(view, vm):
            return False
        return wished_pool(view, vm) == vm.pool or self._is_idle(vm)

    def _is_idle(self, vm: VmRecord) -> bool:
        trend = self._trends.get(vm.pool)
        n_needed = vm.slots + self._settings.n_slots_reserved
        return trend is not None and trend.n_idle >= n_needed

    def _give_back(self, view: FleetView) -> Iterator[BeginMove]:
        """Yield at most one VM of each pool that goes home."""
        pools: set[str] = set()
        for vm in sorted(view.vms.values(), key=lambda vm: vm.name):
            if not vm.lent or not vm.is_available or vm.pool in pools:
                continue
            if self._is_idle(vm) and is_loan_allowed(view, vm):
                pools.add(vm.pool)
                yield BeginMove(vm=vm.name, to_pool=wished_pool(view, vm))


def _least_size(view: FleetView, pool: str) -> tuple[int, int]:
    """Return the fewest accelerators and the least memory of a pool's VMs."""
    specs = [view.vm_spec(vm.name) for vm in view.vms_of(pool) if not vm.removing]
    accelerators = min((spec.accelerators for spec in specs), default=0)
    memory_mb = min((spec.memory_mb for spec in specs), default=0)
    return accelerators, memory_mb


def _is_as_large(spec: VmSpec, needed: tuple[int, int]) -> bool:
    accelerators, memory_mb = needed
    return spec.accelerators >= accelerators and spec.memory_mb >= memory_mb
