"""Availability budgets: whether one more VM may be taken out on purpose."""

from collections.abc import Callable

import msgspec

from ._resources import PoolSpec
from ._view import FleetView, VmRecord

__all__ = ["PoolCount", "budget_violation", "count_pool"]


class PoolCount(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs of a pool, or of one failure domain of it.

    Attributes
    ----------
    n_available : int
        VMs that can take new work.
    n_unavailable : int
        VMs that have served and can't now, on purpose or not.
    """

    n_available: int
    n_unavailable: int


def count_pool(
    view: FleetView, pool: str, within: Callable[[VmRecord], bool] = lambda vm: True
) -> PoolCount:
    """Count the VMs of a pool for which `within` holds."""
    n_available = 0
    n_unavailable = 0
    for vm in view.vms_of(pool):
        if not within(vm):
            continue
        if vm.is_available:
            n_available += 1
        elif vm.joined:
            n_unavailable += 1
    return PoolCount(n_available=n_available, n_unavailable=n_unavailable)


def budget_violation(view: FleetView, vm: VmRecord) -> str | None:
    """Return which budget would break if `vm` were taken out, or None.

    Failed VMs and those whose state is unknown count as out. A VM that never served
    in its pool is no loss to it.
    """
    spec = view.pool(vm.pool) or PoolSpec()
    taken = 1 if vm.is_available else 0
    whole = count_pool(view, vm.pool)
    if taken and whole.n_available - taken < spec.min_serving:
        return f"pool {vm.pool}: {spec.min_serving} VMs must be able to serve"
    rack = count_pool(
        view,
        vm.pool,
        lambda other: (other.data_centre, other.rack) == (vm.data_centre, vm.rack),
    )
    data_centre = count_pool(
        view, vm.pool, lambda other: other.data_centre == vm.data_centre
    )
    limits = (
        ("pool", whole, spec.max_unavailable),
        ("rack", rack, spec.max_unavailable_per_rack),
        ("data centre", data_centre, spec.max_unavailable_per_data_centre),
    )
    for scope, count, limit in limits:
        if count.n_unavailable + taken > limit and vm.joined:
            return f"pool {vm.pool}: at most {limit} VMs of a {scope} may be out"
    return None
