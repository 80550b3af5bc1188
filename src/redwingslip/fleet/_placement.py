"""Comparison of the pools that VMs are in with the pools that they should be in."""

from ._resources import VmPhase
from ._view import FleetView, VmRecord

__all__ = ["desired_pool", "is_loan_allowed", "is_misplaced", "is_move_wanted"]


def desired_pool(view: FleetView, vm: VmRecord) -> str:
    """Return the pool in the VM's specification.

    A VM without a specification, which is being removed, stays in its pool.
    """
    spec = view.vm_spec(vm.name)
    return vm.pool if spec is None else spec.pool


def is_loan_allowed(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a VM may be lent to a pool other than its desired pool.

    This requires that the desired pool is a spare pool and the site allows moves.
    """
    home = view.pool(desired_pool(view, vm))
    return home is not None and home.spare and view.site.moves


def is_misplaced(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a serving VM is in the wrong pool and not on an allowed loan."""
    if vm.phase is not VmPhase.SERVING or desired_pool(view, vm) == vm.pool:
        return False
    return not (vm.lent and is_loan_allowed(view, vm))


def is_move_wanted(view: FleetView, vm: VmRecord) -> bool:
    """Return whether a move in progress is still wanted."""
    if vm.lent:
        return is_loan_allowed(view, vm)
    return desired_pool(view, vm) == vm.move_to
