"""The resources that operators declare.

All specifications are immutable. Durations are `datetime.timedelta`; names of sizes
end with their unit.
"""

import enum
from datetime import timedelta
from typing import Annotated

import msgspec

__all__ = [
    "KeySpec",
    "Kind",
    "PoolSpec",
    "QueueSpec",
    "Resource",
    "SiteSpec",
    "Spec",
    "TeamSpec",
    "VmHealth",
    "VmPhase",
    "VmSpec",
    "WaveSpec",
    "kind_of",
]

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$", max_length=63)
]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Hash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Kind(enum.StrEnum):
    """The kinds of resources, with their names in the HTTP interface."""

    POOL = "pools"
    VM = "vms"
    TEAM = "teams"
    KEY = "keys"
    QUEUE = "queues"
    WAVE = "waves"
    SITE = "sites"


class VmPhase(enum.StrEnum):
    """The phase of a VM: serving, draining for a move or removal, or maintenance."""

    SERVING = "serving"
    LEAVING = "leaving"
    MAINTENANCE = "maintenance"


class VmHealth(enum.StrEnum):
    """The health of a VM's endpoints as last reported by its pool's dispatcher."""

    UNKNOWN = "unknown"
    UP = "up"
    DOWN = "down"


class PoolSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="pools", kw_only=True
):
    """A pool of VMs and its availability budget.

    Attributes
    ----------
    spare : bool
        Whether the pool lends its VMs to other pools.
    min_serving : int
        Number of VMs that must remain available during moves and maintenance.
    max_unavailable : int
        Maximum number of VMs that are unavailable at the same time. VMs that failed
        or whose health is unknown are included.
    max_unavailable_per_rack : int
        The same limit within each rack.
    max_unavailable_per_data_centre : int
        The same limit within each data centre.
    """

    spare: bool = False
    min_serving: Count = 0
    max_unavailable: Count = 1
    max_unavailable_per_rack: Count = 1_000_000
    max_unavailable_per_data_centre: Count = 1_000_000


class VmSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="vms", kw_only=True
):
    """A VM: its desired pool, its location and its capacity."""

    pool: Name
    data_centre: Name
    rack: Name = "unknown"
    slots: Positive = 8
    accelerators: Count = 0
    memory_mb: Count = 65_536


class TeamSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="teams", kw_only=True
):
    """A team: its share of a saturated fleet and its upper limit.

    Attributes
    ----------
    share : float
        Weight relative to the other teams.
    limit : int or None
        Maximum number of requests that the team may run at the same time in the
        whole fleet; None for no limit.
    max_waiting : int
        Maximum number of requests that may wait in the queue of one pool. Further
        requests are refused.
    """

    share: Weight = 1.0
    limit: Count | None = None
    max_waiting: Positive = 1_000


class KeySpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="keys", kw_only=True
):
    """A key of a team; only the SHA-256 of its secret is stored."""

    team: Name
    sha256: Hash


class QueueSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="queues", kw_only=True
):
    """A queue to which callers submit work.

    Attributes
    ----------
    pool : str
        The pool that serves the queue.
    service : str
        Name of the service whose endpoints run the work.
    path : str
        The path that is called on the endpoint.
    open : bool
        Whether the queue accepts work without a key. Such work is accounted to the
        team ``open``.
    urgent : bool
        Whether the work has priority over work that is not urgent.
    idempotent : bool
        Default for requests that don't state whether they are idempotent.
    max_run : timedelta
        Maximum duration of a run. It is sent with each request as the task lease.
    max_wait : timedelta
        Maximum time that a request waits for a slot.
    """

    pool: Name
    service: Name
    path: str = "/run"
    open: bool = False
    urgent: bool = False
    idempotent: bool = True
    max_run: timedelta = timedelta(seconds=30)
    max_wait: timedelta = timedelta(seconds=30)


class WaveSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="waves", kw_only=True
):
    """A maintenance wave: each VM of the pools is drained and rebooted once.

    Attributes
    ----------
    pools : tuple of str
        Names of the pools; empty for the whole fleet.
    paused : bool
        Whether the wave starts no maintenance of further VMs.
    max_parallel : int
        Maximum number of VMs of the wave in maintenance at the same time.
    """

    pools: tuple[Name, ...] = ()
    paused: bool = False
    max_parallel: Positive = 1_000_000


class SiteSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="sites", kw_only=True
):
    """Objectives of a site; the only site, ``default``, applies to all pools.

    Attributes
    ----------
    moves : bool
        Whether VMs are moved between pools automatically to follow demand.
    move_price : float
        Waiting time in slot-seconds that a move must save to be worthwhile.
    share_weight, move_weight, rollout_weight : float
        Weights of closeness to the fair shares, of moves and of roll-out time.
    """

    moves: bool = False
    move_price: Weight = 600.0
    share_weight: Weight = 1.0
    move_weight: Weight = 1.0
    rollout_weight: Weight = 1.0


Spec = PoolSpec | VmSpec | TeamSpec | KeySpec | QueueSpec | WaveSpec | SiteSpec

_KINDS = {
    PoolSpec: Kind.POOL,
    VmSpec: Kind.VM,
    TeamSpec: Kind.TEAM,
    KeySpec: Kind.KEY,
    QueueSpec: Kind.QUEUE,
    WaveSpec: Kind.WAVE,
    SiteSpec: Kind.SITE,
}


def kind_of(spec: Spec) -> Kind:
    """Return the kind of resource that a specification describes."""
    return _KINDS[type(spec)]


class Resource(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A declared resource.

    Attributes
    ----------
    name : str
        Name of the resource, unique within its kind.
    spec : Spec
        The desired state.
    version : int
        Log index of the command that last wrote the specification.
    """

    name: Name
    spec: Spec
    version: int
