"""Where VMs are wanted."""

from ._resources import VmPhase
from ._view import FleetView, VmRecord

__all__ = ["is_loan_allowed", "is_misplaced", "is_move_wanted", "wished_pool"]


def wished_pool(view: FleetView, vm: VmRecord) -> str:
    """Return the pool that the operator wishes for a VM."""
    spec = view.vm_spec(vm.name)
    return vm.pool if spec is None else spec.pool


def is_loan_allowed(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a VM may be in another pool than the operator's."""
    home = view.pool(wished_pool(view, vm))
    return home is not None and home.spare and view.site.moves


def is_misplaced(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a VM stays where the operator doesn't want it."""
    if vm.phase is not VmPhase.SERVING or wished_pool(view, vm) == vm.pool:
        return False
    return not (vm.lent and is_loan_allowed(view, vm))


def is_move_wanted(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a move that has begun is still wanted."""
    if vm.lent:
        return is_loan_allowed(view, vm)
    return wished_pool(view, vm) == vm.move_to
