"""Loans of spare VMs to pools with a persistent shortage of slots."""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from ..fleet import (
    BeginMove,
    FleetView,
    PoolBudget,
    VmRecord,
    VmSpec,
    desired_pool,
    is_loan_allowed,
)
from ..peers._messages import PoolDemand
from ._settings import MoveSettings

__all__ = ["LoanPlanner", "PoolTrend"]

BudgetOf = Callable[[str], PoolBudget]


class PoolTrend:
    """The persistent shortage and the persistent idle capacity of one pool.

    A shortage counts only if it lasts for a whole window. Slots count as idle only if
    they are idle for most of a window. A short peak therefore neither causes a loan nor
    prolongs one.

    Parameters
    ----------
    settings : MoveSettings
        Length and number of the windows.
    """

    __slots__ = (
        "_began_at",
        "_idle_samples",
        "_settings",
        "_shortage_samples",
        "_window_idle_slots",
        "_window_shortages",
    )

    def __init__(self, settings: MoveSettings) -> None:
        self._settings = settings
        self._window_shortages: deque[int] = deque(maxlen=settings.n_windows)
        self._window_idle_slots: deque[int] = deque(maxlen=settings.n_windows)
        self.reset()

    def reset(self) -> None:
        """Discard all samples and windows."""
        self._window_shortages.clear()
        self._window_idle_slots.clear()
        self._began_at: timedelta | None = None
        self._shortage_samples: list[int] = []
        self._idle_samples: list[int] = []

    def observe(self, msg: PoolDemand, now: timedelta) -> None:
        """Add a sample from a report of the pool's dispatcher."""
        if self._began_at is not None:
            self._close_window(now)
        if self._began_at is None:
            self._began_at = now
        n_waiting = sum(team.n_waiting for team in msg.teams)
        # Requests that wait although slots are idle wait because of their team's
        # limit. Another VM would not help them.
        self._shortage_samples.append(0 if msg.n_idle else n_waiting)
        self._idle_samples.append(msg.n_idle)

    def _close_window(self, now: timedelta) -> None:
        """Record the result of the current window if the window has ended."""
        age = now - self._began_at
        if age < self._settings.window:
            return
        if age >= 2 * self._settings.window:
            # No report arrived for a whole window, so the samples before it say nothing
            # about the present demand.
            self.reset()
            return
        self._window_shortages.append(min(self._shortage_samples))
        peak_index = int(len(self._idle_samples) * self._settings.peak_part)
        self._window_idle_slots.append(sorted(self._idle_samples)[peak_index])
        self._began_at = now
        self._shortage_samples = []
        self._idle_samples = []

    @property
    def _has_all_windows(self) -> bool:
        return len(self._window_shortages) == self._settings.n_windows

    @property
    def n_short_slots(self) -> int:
        """Return the smallest number of requests waiting for a slot in any sample."""
        return min(self._window_shortages) if self._has_all_windows else 0

    @property
    def n_idle(self) -> int:
        """Return the number of slots idle in all windows, short peaks left out."""
        return min(self._window_idle_slots) if self._has_all_windows else 0


class LoanPlanner:
    """Plans loans of VMs from spare pools to other pools, and their return.

    Parameters
    ----------
    settings : MoveSettings
        Windows and thresholds of the loans.
    """

    __slots__ = ("_settings", "_trends")

    def __init__(self, settings: MoveSettings) -> None:
        self._settings = settings
        self._trends: dict[str, PoolTrend] = {}

    def handle_demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Handle a report on the demand of a pool."""
        trend = self._trends.get(msg.pool)
        if trend is None:
            trend = self._trends[msg.pool] = PoolTrend(self._settings)
        trend.observe(msg, now)

    def plan(
        self, view: FleetView, budget_of: BudgetOf, now: timedelta
    ) -> Iterator[BeginMove]:
        """Yield the loans and returns that persistent demand justifies."""
        for removed_pool in self._trends.keys() - view.dispatchers.keys():
            del self._trends[removed_pool]
        self._reset_changing_pools(view)
        moved_vms: set[str] = set()
        for move in [
            *self._plan_loans(view, budget_of, moved_vms),
            *self._plan_returns(view),
        ]:
            vm = view.vms[move.vm]
            if move.vm not in moved_vms and budget_of(vm.pool).reserve(vm):
                moved_vms.add(move.vm)
                yield move

    def _reset_changing_pools(self, view: FleetView) -> None:
        """Discard the trends of pools that a VM is leaving or joining.

        Their demand is measured again after the VM has arrived.
        """
        for vm in view.vms.values():
            is_arriving = vm.lent and not vm.joined
            pools = (vm.pool, vm.move_to) if vm.move_to or is_arriving else ()
            for pool in pools:
                if pool in self._trends:
                    self._trends[pool].reset()

    def _plan_loans(
        self, view: FleetView, budget_of: BudgetOf, moved_vms: set[str]
    ) -> Iterator[BeginMove]:
        short_pools = [
            pool for pool, trend in self._trends.items() if trend.n_short_slots
        ]
        short_pools.sort(key=lambda pool: (-self._trends[pool].n_short_slots, pool))
        lent_vms: set[str] = set()
        for pool in short_pools:
            spec = view.pool(pool)
            if spec is None or spec.spare:
                continue
            n_short_slots = self._trends[pool].n_short_slots
            for vm in self._loan_candidates(view, pool):
                if vm.name in lent_vms or not self._is_move_worthwhile(
                    view, vm, n_short_slots
                ):
                    continue
                if budget_of(vm.pool).violation(vm) is not None:
                    continue
                lent_vms.add(vm.name)
                n_short_slots -= vm.slots
                yield BeginMove(vm=vm.name, to_pool=pool, loan=True)

    def _is_move_worthwhile(
        self, view: FleetView, vm: VmRecord, n_short_slots: int
    ) -> bool:
        """Return whether a loan saves at least as much waiting as a move costs."""
        saved_slot_seconds = (
            min(n_short_slots, vm.slots) * self._settings.horizon.total_seconds()
        )
        return (
            saved_slot_seconds > 0
            and saved_slot_seconds >= view.site.move_price * view.site.move_weight
        )

    def _loan_candidates(self, view: FleetView, pool: str) -> list[VmRecord]:
        """Return the VMs that may be lent to a pool, in order of preference.

        VMs that are not lent come first. Among them, VMs in data centres where the pool
        has the fewest VMs come first.
        """
        n_vms_by_data_centre = Counter(vm.data_centre for vm in view.vms_of(pool))
        min_size = _smallest_vm_size(view, pool)
        vms = [
            vm
            for vm in view.vms.values()
            if vm.is_available
            and vm.pool != pool
            and self._can_be_lent(view, vm)
            and _has_at_least(view.vm_spec(vm.name), min_size)
        ]
        return sorted(
            vms, key=lambda vm: (vm.lent, n_vms_by_data_centre[vm.data_centre], vm.name)
        )

    def _can_be_lent(self, view: FleetView, vm: VmRecord) -> bool:
        if not is_loan_allowed(view, vm):
            return False
        return desired_pool(view, vm) == vm.pool or self._has_idle_slots_for(vm)

    def _has_idle_slots_for(self, vm: VmRecord) -> bool:
        trend = self._trends.get(vm.pool)
        n_slots_needed = vm.slots + self._settings.n_slots_reserved
        return trend is not None and trend.n_idle >= n_slots_needed

    def _plan_returns(self, view: FleetView) -> Iterator[BeginMove]:
        """Yield at most one return of a lent VM for each pool."""
        pools: set[str] = set()
        for vm in sorted(view.vms.values(), key=lambda vm: vm.name):
            if not vm.lent or not vm.is_available or vm.pool in pools:
                continue
            if self._has_idle_slots_for(vm) and is_loan_allowed(view, vm):
                pools.add(vm.pool)
                yield BeginMove(vm=vm.name, to_pool=desired_pool(view, vm))


def _smallest_vm_size(view: FleetView, pool: str) -> tuple[int, int]:
    """Return the smallest accelerator count and memory size among a pool's VMs."""
    specs = [view.vm_spec(vm.name) for vm in view.vms_of(pool) if not vm.removing]
    accelerators = min((spec.accelerators for spec in specs), default=0)
    memory_mb = min((spec.memory_mb for spec in specs), default=0)
    return accelerators, memory_mb


def _has_at_least(spec: VmSpec, min_size: tuple[int, int]) -> bool:
    accelerators, memory_mb = min_size
    return spec.accelerators >= accelerators and spec.memory_mb >= memory_mb
