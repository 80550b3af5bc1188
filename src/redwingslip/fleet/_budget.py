"""Availability budgets, which limit how many VMs are taken out of service."""

from collections import Counter

from ._resources import PoolSpec, VmPhase
from ._view import FleetView, VmRecord

__all__ = ["PoolBudget", "budget_violation", "drain_problem"]


class PoolBudget:
    """The remaining availability budgets of one pool.

    VMs that failed or whose health is unknown count as unavailable. A VM that has
    never served in the pool does not count.

    Parameters
    ----------
    view : FleetView
        The view that holds the pool's specification and VMs.
    pool : str
        Name of the pool.
    """

    __slots__ = (
        "_n_available",
        "_n_unavailable",
        "_n_unavailable_by_domain",
        "_pool",
        "_spec",
    )

    def __init__(self, view: FleetView, pool: str) -> None:
        self._pool = pool
        self._spec = view.pool(pool) or PoolSpec()
        self._n_available = 0
        self._n_unavailable = 0
        self._n_unavailable_by_domain: Counter[tuple[str, ...]] = Counter()
        for vm in view.vms_of(pool):
            if vm.is_available:
                self._n_available += 1
            elif vm.joined:
                self._count_unavailable(vm)

    @property
    def n_unavailable(self) -> int:
        """Return the number of unavailable VMs, planned and unplanned."""
        return self._n_unavailable

    def violation(self, vm: VmRecord) -> str | None:
        """Return the budget that taking `vm` out of service would violate, or None."""
        if not vm.joined:
            return None
        spec = self._spec
        n_newly_unavailable = 1 if vm.is_available else 0
        if (
            n_newly_unavailable
            and self._n_available - n_newly_unavailable < spec.min_serving
        ):
            return f"pool {self._pool}: {spec.min_serving} VMs must be able to serve"
        rack, data_centre = _domains(vm)
        limits = (
            ("pool", self._n_unavailable, spec.max_unavailable),
            (
                "rack",
                self._n_unavailable_by_domain[rack],
                spec.max_unavailable_per_rack,
            ),
            (
                "data centre",
                self._n_unavailable_by_domain[data_centre],
                spec.max_unavailable_per_data_centre,
            ),
        )
        for scope, n_unavailable, limit in limits:
            if n_unavailable + n_newly_unavailable > limit:
                return f"pool {self._pool}: at most {limit} VMs of a {scope} may be out"
        return None

    def reserve(self, vm: VmRecord) -> bool:
        """Count `vm` as unavailable if the budgets allow it; return whether they do."""
        if self.violation(vm) is not None:
            return False
        if vm.is_available:
            self._n_available -= 1
            self._count_unavailable(vm)
        return True

    def _count_unavailable(self, vm: VmRecord) -> None:
        self._n_unavailable += 1
        for domain in _domains(vm):
            self._n_unavailable_by_domain[domain] += 1


def _domains(vm: VmRecord) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the failure domains of a VM: its rack and its data centre."""
    return (vm.data_centre, vm.rack), (vm.data_centre,)


def budget_violation(view: FleetView, vm: VmRecord) -> str | None:
    """Return the budget that taking `vm` out of its pool would violate, or None."""
    return PoolBudget(view, vm.pool).violation(vm)


def drain_problem(view: FleetView, record: VmRecord | None) -> str | None:
    """Return why draining of a VM can't start, or None if it can."""
    if record is None or record.phase is not VmPhase.SERVING:
        return "the VM does not exist or is not serving"
    if record.pool not in view.dispatchers:
        return "the pool has no dispatcher, so its VMs' health is unknown"
    return budget_violation(view, record)
