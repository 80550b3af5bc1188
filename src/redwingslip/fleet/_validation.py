"""Validation of a resource against the other resources."""

from functools import singledispatch

from ._outcomes import Invalid
from ._resources import (
    KeySpec,
    Kind,
    PoolSpec,
    QueueSpec,
    SiteSpec,
    Spec,
    TeamSpec,
    VmSpec,
    WaveSpec,
)
from ._view import FleetView

__all__ = ["deletion_problem", "spec_problem"]


def _missing_reference(field: str, kind: Kind, name: str) -> Invalid:
    return Invalid(field=field, reason=f"there is no {name!r} in {kind}")


@singledispatch
def spec_problem(spec: Spec, name: str, view: FleetView) -> Invalid | None:
    """Return why a specification is invalid in this view, or None if it is valid."""
    raise TypeError(f"no validation for specification type {type(spec).__name__}")


@spec_problem.register
def _(spec: PoolSpec | TeamSpec, name: str, view: FleetView) -> Invalid | None:
    return None


@spec_problem.register
def _(spec: SiteSpec, name: str, view: FleetView) -> Invalid | None:
    if name != "default":
        return Invalid(field="name", reason="the only site is 'default'")
    return None


@spec_problem.register
def _(spec: VmSpec, name: str, view: FleetView) -> Invalid | None:
    if view.pool(spec.pool) is None:
        return _missing_reference("spec.pool", Kind.POOL, spec.pool)
    return None


@spec_problem.register
def _(spec: KeySpec, name: str, view: FleetView) -> Invalid | None:
    if view.spec(Kind.TEAM, spec.team) is None:
        return _missing_reference("spec.team", Kind.TEAM, spec.team)
    for other in view.resources[Kind.KEY].values():
        if other.spec.sha256 == spec.sha256 and other.name != name:
            return Invalid(field="spec.sha256", reason="another key has this secret")
    return None


@spec_problem.register
def _(spec: QueueSpec, name: str, view: FleetView) -> Invalid | None:
    if view.pool(spec.pool) is None:
        return _missing_reference("spec.pool", Kind.POOL, spec.pool)
    if not spec.path.startswith("/"):
        return Invalid(field="spec.path", reason="must start with '/'")
    if spec.max_run.total_seconds() <= 0:
        return Invalid(field="spec.max_run", reason="must be longer than zero")
    if spec.max_wait.total_seconds() <= 0:
        return Invalid(field="spec.max_wait", reason="must be longer than zero")
    return None


@spec_problem.register
def _(spec: WaveSpec, name: str, view: FleetView) -> Invalid | None:
    current = view.spec(Kind.WAVE, name)
    if current is not None and current.pools == spec.pools:
        return None
    if current is not None:
        return Invalid(field="spec.pools", reason="can't change once a wave exists")
    for pool in spec.pools:
        if view.pool(pool) is None:
            return _missing_reference("spec.pools", Kind.POOL, pool)
    return None


def deletion_problem(kind: Kind, name: str, view: FleetView) -> Invalid | None:
    """Return which resources prevent the deletion of a resource, or None."""
    users: list[str] = []
    if kind is Kind.POOL:
        users += [f"vms/{vm.name}" for vm in view.vms.values() if name in _pools_of(vm)]
        users += [
            f"vms/{n}"
            for n, r in view.resources[Kind.VM].items()
            if r.spec.pool == name
        ]
        users += [
            f"queues/{n}"
            for n, r in view.resources[Kind.QUEUE].items()
            if r.spec.pool == name
        ]
    if kind is Kind.TEAM:
        users += [
            f"keys/{n}"
            for n, r in view.resources[Kind.KEY].items()
            if r.spec.team == name
        ]
    if not users:
        return None
    return Invalid(field="name", reason=f"still used by {', '.join(sorted(users)[:5])}")


def _pools_of(vm) -> tuple[str, str]:
    return (vm.pool, vm.move_to)
