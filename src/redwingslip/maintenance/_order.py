"""The order in which a wave starts the maintenance of its VMs."""

from collections import Counter
from collections.abc import Iterable

from ..fleet import FleetView, PoolSpec, VmRecord

__all__ = ["min_rounds", "sort_admitted"]

_Scope = tuple[str, ...]


def sort_admitted(
    view: FleetView,
    admitted: list[VmRecord],
    pending: list[VmRecord],
    max_parallel: int,
) -> list[VmRecord]:
    """Return the admitted VMs in the order in which a wave tries to drain them.

    VMs whose pool or failure domain alone needs all remaining rounds of the wave come
    first, then VMs whose data centre or rack alone needs as many rounds as their pool.
    Deferring these VMs would make the wave longer. VMs whose failure domain needs more
    rounds precede the others. Among equals, VMs of spare pools come first, and the
    failure domains follow one after another.

    Parameters
    ----------
    view : FleetView
        The view that holds the pools and their VMs.
    admitted : list of VmRecord
        The pending VMs that the budgets admit at present.
    pending : list of VmRecord
        All VMs of the wave whose maintenance has not started.
    max_parallel : int
        Maximum number of VMs of the wave in maintenance at the same time.
    """
    if not admitted:
        return []
    n_rounds_by_scope = _count_rounds_by_scope(view, pending)
    n_rounds_left = _min_rounds(n_rounds_by_scope, len(pending), max_parallel)

    def key(vm: VmRecord) -> tuple:
        pool_rounds, *domain_rounds = (
            n_rounds_by_scope[scope] for scope in _scopes(vm)
        )
        spec = view.pool(vm.pool) or PoolSpec()
        return (
            max(pool_rounds, *domain_rounds) < n_rounds_left,
            max(domain_rounds) < pool_rounds,
            -max(domain_rounds),
            not spec.spare,
            vm.data_centre,
            vm.rack,
            vm.name,
        )

    return sorted(admitted, key=key)


def min_rounds(view: FleetView, vms: Iterable[VmRecord], max_parallel: int) -> int:
    """Return the minimum number of rounds in which the budgets allow these reboots."""
    vms = list(vms)
    return _min_rounds(_count_rounds_by_scope(view, vms), len(vms), max_parallel)


def _min_rounds(
    n_rounds_by_scope: dict[_Scope, int], n_vms: int, max_parallel: int
) -> int:
    return max(
        [*n_rounds_by_scope.values(), _ceil_rounds(n_vms, max_parallel)], default=0
    )


def _count_rounds_by_scope(view: FleetView, vms: list[VmRecord]) -> dict[_Scope, int]:
    """Return the number of rounds that each pool and failure domain needs."""
    counts = Counter(scope for vm in vms for scope in _scopes(vm))
    limits = {pool: _limits(view, pool) for pool in {vm.pool for vm in vms}}
    return {
        scope: _ceil_rounds(count, limits[scope[0]][len(scope) - 1])
        for scope, count in counts.items()
    }


def _scopes(vm: VmRecord) -> tuple[_Scope, _Scope, _Scope]:
    """Return the scopes of a VM's budgets, widest first."""
    return (
        (vm.pool,),
        (vm.pool, vm.data_centre),
        (vm.pool, vm.data_centre, vm.rack),
    )


def _limits(view: FleetView, pool: str) -> tuple[int, int, int]:
    """Return how many VMs per pool, data centre and rack may be unavailable."""
    spec = view.pool(pool) or PoolSpec()
    n_joined = sum(vm.joined for vm in view.vms_of(pool))
    return (
        min(spec.max_unavailable, n_joined - spec.min_serving),
        spec.max_unavailable_per_data_centre,
        spec.max_unavailable_per_rack,
    )


def _ceil_rounds(count: int, limit: int) -> int:
    """Return the rounds that `count` VMs need; a limit below one counts as one."""
    return -(-count // max(1, limit))
