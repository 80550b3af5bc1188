"""The planner of moves between pools."""

from collections.abc import Iterator
from datetime import timedelta

import msgspec

from ..fleet import (
    BeginMove,
    CancelMove,
    Command,
    CompleteMove,
    FleetView,
    PoolBudget,
    VmPhase,
    VmRecord,
    desired_pool,
    is_misplaced,
    is_move_wanted,
)
from ..peers._messages import PoolDemand, VmDrained
from ._drain_reports import DrainReports
from ._loans import LoanPlanner
from ._resend import Resender
from ._settings import MoveSettings

__all__ = ["BlockedMove", "MovePlanner"]


class BlockedMove(msgspec.Struct, frozen=True, kw_only=True):
    """A move requested by the operator that can't start at present.

    Attributes
    ----------
    vm : str
        Name of the VM.
    to_pool : str
        The pool that the VM is to move to.
    reason : str
        The budget that the move would violate, or the missing dispatcher.
    """

    vm: str
    to_pool: str
    reason: str


class MovePlanner:
    """Plans moves of VMs to the pools that the operator or persistent demand requires.

    Parameters
    ----------
    settings : MoveSettings
        Intervals and thresholds of the moves.
    """

    __slots__ = ("_drain_reports", "_loans", "_proposal_resender")

    def __init__(self, settings: MoveSettings | None = None) -> None:
        settings = settings or MoveSettings()
        self._drain_reports = DrainReports()
        self._loans = LoanPlanner(settings)
        self._proposal_resender = Resender(settings.propose_again)

    def handle_vm_drained(self, msg: VmDrained, now: timedelta) -> None:
        """Handle a dispatcher's report that a VM is drained."""
        self._drain_reports.record(msg)

    def handle_demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Handle a report on the demand of a pool."""
        self._loans.handle_demand(msg, now)

    def plan(self, view: FleetView, now: timedelta) -> list[Command]:
        """Return the commands to propose at `now`."""
        leaving = {
            vm.name: vm for vm in view.vms.values() if vm.phase is VmPhase.LEAVING
        }
        self._drain_reports.retain(leaving.__contains__)
        commands = [cmd for vm in leaving.values() for cmd in self._end_move(view, vm)]
        budgets = _BudgetCache(view)
        commands += [
            BeginMove(vm=vm.name, to_pool=desired_pool(view, vm))
            for vm in _misplaced_vms(view)
            if vm.pool in view.dispatchers and budgets.for_pool(vm.pool).reserve(vm)
        ]
        if view.site.moves:
            commands += self._loans.plan(view, budgets.for_pool, now)
        return self._proposal_resender.select_due(commands, now)

    def blocked(self, view: FleetView) -> list[BlockedMove]:
        """Return the moves requested by operators that can't start, with reasons."""
        budgets = _BudgetCache(view)
        blocked = []
        for vm in _misplaced_vms(view):
            reason = budgets.for_pool(vm.pool).violation(vm)
            if vm.pool not in view.dispatchers:
                reason = f"pool {vm.pool} has no dispatcher"
            if reason is not None:
                to_pool = desired_pool(view, vm)
                blocked.append(BlockedMove(vm=vm.name, to_pool=to_pool, reason=reason))
        return blocked

    def _end_move(self, view: FleetView, vm: VmRecord) -> Iterator[Command]:
        """Yield the end of a move: cancelled if unwanted, completed if drained."""
        if not vm.removing and not is_move_wanted(view, vm):
            yield CancelMove(vm=vm.name, drain_index=vm.drain_index)
        elif self._drain_reports.is_drained(view, vm):
            epoch = view.dispatchers[vm.pool].epoch
            yield CompleteMove(vm=vm.name, epoch=epoch, drain_index=vm.drain_index)


class _BudgetCache:
    """The budgets of the pools, each computed once for a plan."""

    __slots__ = ("_budgets", "_view")

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._budgets: dict[str, PoolBudget] = {}

    def for_pool(self, pool: str) -> PoolBudget:
        """Return the budget of a pool after the reservations of this plan."""
        if pool not in self._budgets:
            self._budgets[pool] = PoolBudget(self._view, pool)
        return self._budgets[pool]


def _misplaced_vms(view: FleetView) -> list[VmRecord]:
    """Return the misplaced VMs, sorted by name."""
    misplaced = [vm for vm in view.vms.values() if is_misplaced(view, vm)]
    return sorted(misplaced, key=lambda vm: vm.name)
