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
    is_misplaced,
    is_move_wanted,
    wished_pool,
)
from ..peers._messages import PoolDemand, VmDrained
from ._drains import Drains
from ._loans import LoanPlanner
from ._resend import Resender
from ._settings import MoveSettings

__all__ = ["BlockedMove", "MovePlanner"]


class BlockedMove(msgspec.Struct, frozen=True, kw_only=True):
    """A move that the operator wants and a budget holds up."""

    vm: str
    to_pool: str
    reason: str


class MovePlanner:
    """Brings VMs to the pools where the operator, or slow demand, wants them.

    Parameters
    ----------
    settings : MoveSettings
        Times and sizes.
    """

    __slots__ = ("_drains", "_loans", "_proposals")

    def __init__(self, settings: MoveSettings | None = None) -> None:
        settings = settings or MoveSettings()
        self._drains = Drains()
        self._loans = LoanPlanner(settings)
        self._proposals = Resender(settings.propose_again)

    def vm_drained(self, msg: VmDrained, now: timedelta) -> None:
        """Take a dispatcher's word that a VM is drained."""
        self._drains.note(msg)

    def demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Take in what a pool is asked for."""
        self._loans.demand(msg, now)

    def plan(self, view: FleetView, now: timedelta) -> list[Command]:
        """Return the commands to propose now."""
        leaving = {
            vm.name: vm for vm in view.vms.values() if vm.phase is VmPhase.LEAVING
        }
        self._drains.keep(leaving.__contains__)
        commands = [cmd for vm in leaving.values() for cmd in self._finish(view, vm)]
        budgets = _Budgets(view)
        commands += [
            BeginMove(vm=vm.name, to_pool=wished_pool(view, vm))
            for vm in _misplaced(view)
            if vm.pool in view.dispatchers and budgets.of(vm.pool).take(vm)
        ]
        if view.site.moves:
            commands += self._loans.plan(view, budgets.of, now)
        return self._proposals.due(commands, now)

    def blocked(self, view: FleetView) -> list[BlockedMove]:
        """Return the operators' moves that no budget admits now, and why."""
        budgets = _Budgets(view)
        blocked = []
        for vm in _misplaced(view):
            reason = budgets.of(vm.pool).violation(vm)
            if vm.pool not in view.dispatchers:
                reason = f"pool {vm.pool} has no dispatcher"
            if reason is not None:
                to_pool = wished_pool(view, vm)
                blocked.append(BlockedMove(vm=vm.name, to_pool=to_pool, reason=reason))
        return blocked

    def _finish(self, view: FleetView, vm: VmRecord) -> Iterator[Command]:
        """End a move: cancel it when nobody wants it, complete it when drained."""
        if not vm.removing and not is_move_wanted(view, vm):
            yield CancelMove(vm=vm.name, drain_index=vm.drain_index)
        elif self._drains.is_drained(view, vm):
            epoch = view.dispatchers[vm.pool].epoch
            yield CompleteMove(vm=vm.name, epoch=epoch, drain_index=vm.drain_index)


class _Budgets:
    """The budgets of the pools, counted once for a plan."""

    __slots__ = ("_budgets", "_view")

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._budgets: dict[str, PoolBudget] = {}

    def of(self, pool: str) -> PoolBudget:
        """Return the budget of a pool, less what this plan has taken."""
        if pool not in self._budgets:
            self._budgets[pool] = PoolBudget(self._view, pool)
        return self._budgets[pool]


def _misplaced(view: FleetView) -> list[VmRecord]:
    """Return the VMs that stay where the operator doesn't want them, by name."""
    misplaced = [vm for vm in view.vms.values() if is_misplaced(view, vm)]
    return sorted(misplaced, key=lambda vm: vm.name)
