"""Checks of the resources that the product's own operators apply."""

from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from ..fleet import (
    Accepted,
    FleetState,
    FleetView,
    Invalid,
    Kind,
    PoolSpec,
    PutResource,
    QueueSpec,
    Spec,
    TeamSpec,
    WaveSpec,
)
from ._findings import Finding, Severity

__all__ = ["GivenResource", "check_resources"]


class GivenResource(msgspec.Struct, frozen=True, kw_only=True):
    """A resource of a file, in a place of that file."""

    place: str
    name: str
    spec: Spec


def check_resources(
    given: Sequence[GivenResource], *, current: Sequence[GivenResource] = ()
) -> list[Finding]:
    """Check resources as the servers do, and together with those in force.

    Parameters
    ----------
    given : sequence of GivenResource
        The resources, those before others that refer to them.
    current : sequence of GivenResource
        The resources in force, in such an order.
    """
    state = FleetState()
    findings: list[Finding] = []
    for index, resource in enumerate((*current, *given), start=1):
        command = PutResource(name=resource.name, spec=resource.spec)
        outcome, _ = state.apply(index, command)
        if index > len(current) and not isinstance(outcome, Accepted):
            findings.append(_refusal(resource, outcome))
    refused = {finding.place for finding in findings}
    fleet = _Fleet(state.view)
    for resource in given:
        if resource.place not in refused:
            findings += fleet.contradictions(resource)
    return findings


def _refusal(resource: GivenResource, outcome: object) -> Finding:
    problem, fix = str(outcome), "the servers refuse this resource"
    if isinstance(outcome, Invalid):
        problem = f"{outcome.field}: {outcome.reason}"
        fix = f"correct {outcome.field}, or declare what it refers to"
    return Finding(
        severity=Severity.ERROR, place=resource.place, problem=problem, fix=fix
    )


class _Fleet:
    """The fleet as it is after the resources have been applied."""

    def __init__(self, view: FleetView) -> None:
        self._n_vms: Counter[str] = Counter()
        self._n_slots: Counter[str] = Counter()
        self._used_pools: set[str] = set()
        for resource in view.resources[Kind.VM].values():
            self._n_vms[resource.spec.pool] += 1
            self._n_slots[resource.spec.pool] += resource.spec.slots
        for resource in view.resources[Kind.QUEUE].values():
            self._used_pools.add(resource.spec.pool)
        self._lends_vms = any(r.spec.spare for r in view.resources[Kind.POOL].values())

    def contradictions(self, resource: GivenResource) -> Iterator[Finding]:
        """Yield what the servers accept although it can't work as it says."""
        for problem, fix in self._problems(resource):
            yield Finding(
                severity=Severity.WARNING,
                place=resource.place,
                problem=problem,
                fix=fix,
            )

    def _problems(self, resource: GivenResource) -> Iterator[tuple[str, str]]:
        spec = resource.spec
        if isinstance(spec, PoolSpec):
            yield from self._pool_problems(resource.name, spec)
        elif isinstance(spec, QueueSpec) and not self._n_vms[spec.pool]:
            yield f"pool {spec.pool} has no VM", "declare a VM of the pool"
        elif isinstance(spec, TeamSpec) and spec.limit is not None:
            n_slots = self._n_slots.total()
            if not spec.limit:
                yield "with a limit of 0 it runs nothing", "raise the limit"
            elif n_slots and spec.limit > n_slots:
                yield (
                    f"the limit of {spec.limit} is above all {n_slots} slots of the "
                    "fleet and never applies",
                    f"set it to at most {n_slots}, or leave it out",
                )
        elif isinstance(spec, WaveSpec):
            pools = spec.pools or tuple(self._n_vms)
            if not any(self._n_vms[pool] for pool in pools):
                yield "it has no VM to maintain", "name a pool with VMs"

    def _pool_problems(self, name: str, spec: PoolSpec) -> Iterator[tuple[str, str]]:
        """Yield the problems of a pool's budget."""
        n_vms = self._n_vms[name]
        if not spec.spare and name not in self._used_pools:
            yield "no queue uses it", "declare a queue, or make it a spare pool"
        if spec.min_serving > n_vms and not self._lends_vms:
            yield (
                f"min_serving is {spec.min_serving}, and it has {n_vms} VMs",
                f"set min_serving below {n_vms}, or declare more VMs",
            )
        elif n_vms and spec.min_serving >= n_vms:
            yield (
                f"with min_serving {spec.min_serving} of {n_vms} VMs no wave or move "
                "can take one",
                f"set min_serving to at most {n_vms - 1}, or declare more VMs",
            )
        limits = (
            "max_unavailable",
            "max_unavailable_per_rack",
            "max_unavailable_per_data_centre",
        )
        for field in limits:
            if n_vms and not getattr(spec, field):
                yield (
                    f"with {field} 0 no wave or move can take a VM",
                    f"set {field} to at least 1",
                )
