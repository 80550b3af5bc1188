"""The resources that operators declare.

Each specification is frozen. Durations are `datetime.timedelta`; sizes carry their
unit in the name.
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
    """The kinds of resource, named as in the resource interface."""

    POOL = "pools"
    VM = "vms"
    TEAM = "teams"
    KEY = "keys"
    QUEUE = "queues"
    WAVE = "waves"
    SITE = "sites"


class VmPhase(enum.StrEnum):
    """Where a VM stands between pools and maintenance."""

    SERVING = "serving"
    LEAVING = "leaving"
    MAINTENANCE = "maintenance"


class VmHealth(enum.StrEnum):
    """What the pool's dispatcher last saw of the endpoints of a VM."""

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
        Whether the pool lends its VMs to others.
    min_serving : int
        VMs that must be able to serve at any moment, planned work included.
    max_unavailable : int
        VMs that may be out at once, failed and unknown ones counted.
    max_unavailable_per_rack : int
        The same within each rack.
    max_unavailable_per_data_centre : int
        The same within each data centre.
    """

    spare: bool = False
    min_serving: Count = 0
    max_unavailable: Count = 1
    max_unavailable_per_rack: Count = 1_000_000
    max_unavailable_per_data_centre: Count = 1_000_000


class VmSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="vms", kw_only=True
):
    """A VM: the pool wished for it, where it stands and what it holds."""

    pool: Name
    data_centre: Name
    rack: Name = "unknown"
    slots: Positive = 8
    accelerators: Count = 0
    memory_mb: Count = 65_536


class TeamSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="teams", kw_only=True
):
    """A team: its share when everything is full and its upper limit.

    Attributes
    ----------
    share : float
        Weight against the other teams.
    limit : int or None
        Requests that the team may have running at once in the whole fleet;
        None for no limit.
    max_waiting : int
        Requests that may wait in one pool's queue before more are refused.
    """

    share: Weight = 1.0
    limit: Count | None = None
    max_waiting: Positive = 1_000


class KeySpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="keys", kw_only=True
):
    """A key of a team, kept as the SHA-256 of its secret only."""

    team: Name
    sha256: Hash


class QueueSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="queues", kw_only=True
):
    """A queue that callers hand work to.

    Attributes
    ----------
    pool : str
        The pool that serves the queue.
    service : str
        The endpoints' service that runs the work.
    path : str
        The path called on the endpoint.
    open : bool
        Whether the queue takes work without a key, on the account of team ``open``.
    urgent : bool
        Whether the work goes before non-urgent work.
    idempotent : bool
        What a request is taken for that does not say it itself.
    max_run : timedelta
        The longest run; the task lease that travels with each request.
    max_wait : timedelta
        The longest wait for a slot.
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
        The pools, or empty for the whole fleet.
    paused : bool
        Whether no further VM is taken.
    max_parallel : int
        VMs in maintenance at once over the whole wave.
    """

    pools: tuple[Name, ...] = ()
    paused: bool = False
    max_parallel: Positive = 1_000_000


class SiteSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="sites", kw_only=True
):
    """What a site weighs: the resource ``default`` holds for all pools.

    Attributes
    ----------
    moves : bool
        Whether VMs are moved between pools to follow demand.
    move_price : float
        Slot-seconds of waiting that one move must save to be worth it.
    share_weight, move_weight, rollout_weight : float
        How much share nearness, moves and roll-out time count.
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
    """Return the kind that a specification belongs to."""
    return _KINDS[type(spec)]


class Resource(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A declared resource.

    Attributes
    ----------
    name : str
        Unique within its kind.
    spec : Spec
        The desired state.
    version : int
        Log index of the change that last wrote the specification.
    """

    name: Name
    spec: Spec
    version: int
