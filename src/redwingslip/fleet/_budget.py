"""Availability budgets: whether one more VM may be taken out on purpose."""

from collections import Counter

from ._resources import PoolSpec, VmPhase
from ._view import FleetView, VmRecord

__all__ = ["PoolBudget", "budget_violation", "drain_problem"]


class PoolBudget:
    """What the budgets of one pool still admit.

    VMs that failed, or whose state is unknown, count as out. A VM that never served
    in its pool is no loss to it.

    Parameters
    ----------
    view : FleetView
        Where the VMs are.
    pool : str
        Name of the pool.
    """

    __slots__ = ("_n_available", "_n_out", "_n_out_within", "_pool", "_spec")

    def __init__(self, view: FleetView, pool: str) -> None:
        self._pool = pool
        self._spec = view.pool(pool) or PoolSpec()
        self._n_available = 0
        self._n_out = 0
        self._n_out_within: Counter[tuple[str, ...]] = Counter()
        for vm in view.vms_of(pool):
            if vm.is_available:
                self._n_available += 1
            elif vm.joined:
                self._count_out(vm)

    @property
    def n_out(self) -> int:
        """Return how many VMs are out, on purpose or not."""
        return self._n_out

    def violation(self, vm: VmRecord) -> str | None:
        """Return which budget would break if `vm` were taken out, or None."""
        if not vm.joined:
            return None
        spec = self._spec
        n_taken = 1 if vm.is_available else 0
        if n_taken and self._n_available - n_taken < spec.min_serving:
            return f"pool {self._pool}: {spec.min_serving} VMs must be able to serve"
        rack, data_centre = _domains(vm)
        limits = (
            ("pool", self._n_out, spec.max_unavailable),
            ("rack", self._n_out_within[rack], spec.max_unavailable_per_rack),
            (
                "data centre",
                self._n_out_within[data_centre],
                spec.max_unavailable_per_data_centre,
            ),
        )
        for scope, n_out, limit in limits:
            if n_out + n_taken > limit:
                return f"pool {self._pool}: at most {limit} VMs of a {scope} may be out"
        return None

    def take(self, vm: VmRecord) -> bool:
        """Count `vm` as taken out if the budgets admit it; return whether they do."""
        if self.violation(vm) is not None:
            return False
        if vm.is_available:
            self._n_available -= 1
            self._count_out(vm)
        return True

    def _count_out(self, vm: VmRecord) -> None:
        self._n_out += 1
        for domain in _domains(vm):
            self._n_out_within[domain] += 1


def _domains(vm: VmRecord) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the failure domains of a VM: its rack and its data centre."""
    return (vm.data_centre, vm.rack), (vm.data_centre,)


def budget_violation(view: FleetView, vm: VmRecord) -> str | None:
    """Return which budget of its pool would break if `vm` were taken out, or None."""
    return PoolBudget(view, vm.pool).violation(vm)


def drain_problem(view: FleetView, record: VmRecord | None) -> str | None:
    """Return why a VM can't be drained now, or None."""
    if record is None or record.phase is not VmPhase.SERVING:
        return "the VM is absent or not serving"
    if record.pool not in view.dispatchers:
        return "the pool has no dispatcher, so its VMs are unknown"
    return budget_violation(view, record)
