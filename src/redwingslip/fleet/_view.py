"""The part of the replicated state that every entry follows.

A view is changed by `Change` records only, each made by applying a command, so that
an entry that follows the changes holds the same view as the replicas.
"""

import enum
from collections import Counter
from functools import singledispatchmethod

import msgspec

from ._resources import (
    KeySpec,
    Kind,
    PoolSpec,
    QueueSpec,
    Resource,
    SiteSpec,
    Spec,
    TeamSpec,
    VmHealth,
    VmPhase,
    VmSpec,
    kind_of,
)

__all__ = [
    "UNLIMITED_TEAM",
    "Allotment",
    "Change",
    "DispatcherLease",
    "EntryRecord",
    "FleetView",
    "Removed",
    "Table",
    "ViewSnapshot",
    "VmRecord",
    "WaveRecord",
]

UNLIMITED_TEAM = TeamSpec()
DEFAULT_SITE = SiteSpec()


class Table(enum.StrEnum):
    """The tables of a view."""

    RESOURCES = "resources"
    VMS = "vms"
    WAVES = "waves"
    ENTRIES = "entries"
    DISPATCHERS = "dispatchers"
    ALLOTMENTS = "allotments"


class _Row(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Base of the rows of a view."""


class VmRecord(_Row, frozen=True, tag=True):
    """Where a VM is.

    Attributes
    ----------
    pool : str
        The one pool that the VM belongs to.
    move_to : str
        The pool it is leaving for; empty while it stays, or when it is removed.
    wave : str
        The wave that holds it in maintenance.
    waits_for : tuple of str
        The waves that have still to take it.
    assigned_at : int
        Log index at which it came into its pool, or its last reboot was done.
    joined : bool
        Whether its endpoints have served in this pool, so that its absence counts
        against the budget.
    slots : int
        Requests that its endpoints take at once.
    removing : bool
        Whether it leaves the fleet.
    rebooted : bool
        Whether its maintenance has come past the reboot.
    drain_index : int
        Log index at which its present drain began, 0 while it serves.
    lent : bool
        Whether it is in, or leaves for, another pool than the operator's by an
        automatic move.
    """

    name: str
    pool: str
    phase: VmPhase = VmPhase.SERVING
    health: VmHealth = VmHealth.UNKNOWN
    move_to: str = ""
    wave: str = ""
    waits_for: tuple[str, ...] = ()
    assigned_at: int = 0
    joined: bool = False
    data_centre: str = ""
    rack: str = ""
    slots: int = 8
    removing: bool = False
    rebooted: bool = False
    drain_index: int = 0
    lent: bool = False

    @property
    def is_available(self) -> bool:
        """Whether the VM can take new work."""
        return self.phase is VmPhase.SERVING and self.health is VmHealth.UP


class WaveRecord(_Row, frozen=True, tag=True):
    """How far a maintenance wave is; its VMs are marked in their own records.

    Attributes
    ----------
    n_pending : int
        VMs not taken yet.
    n_active : int
        VMs in maintenance.
    n_done : int
        VMs that serve again.
    n_skipped : int
        VMs that were removed meanwhile or whose reboot the platform refused.
    """

    name: str
    n_pending: int = 0
    n_active: int = 0
    n_done: int = 0
    n_skipped: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the wave has no more to do."""
        return not self.n_pending and not self.n_active

    def after(
        self, *, pending: int = 0, active: int = 0, done: int = 0, skipped: int = 0
    ) -> "WaveRecord":
        """Return the record with these numbers added."""
        return WaveRecord(
            name=self.name,
            n_pending=self.n_pending + pending,
            n_active=self.n_active + active,
            n_done=self.n_done + done,
            n_skipped=self.n_skipped + skipped,
        )


class EntryRecord(_Row, frozen=True, tag=True):
    """A registered entry daemon."""

    entry_id: str
    incarnation: str
    address: str
    data_centre: str = ""


class DispatcherLease(_Row, frozen=True, tag=True):
    """Which entry dispatches a pool; `epoch` is the log index of the assignment."""

    pool: str
    entry_id: str
    incarnation: str
    epoch: int


class Allotment(_Row, frozen=True, tag=True):
    """The part of a team's upper limit that a pool's dispatcher may use."""

    team: str
    pool: str
    count: int
    version: int


class Removed(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A row that is gone; `key` names it within its table."""

    table: Table
    key: tuple[str, ...]


Row = Resource | VmRecord | WaveRecord | EntryRecord | DispatcherLease | Allotment


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the view after the command at log index `index`."""

    index: int
    row: (
        Resource
        | VmRecord
        | WaveRecord
        | EntryRecord
        | DispatcherLease
        | Allotment
        | Removed
    )


class ViewSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A whole view at a log index."""

    index: int
    rows: tuple[
        Resource | VmRecord | WaveRecord | EntryRecord | DispatcherLease | Allotment,
        ...,
    ]


class FleetView:
    """The resources and the decisions about them, as of one log index.

    Attributes
    ----------
    index : int
        Log index that the view holds.
    """

    __slots__ = (
        "_n_allotted",
        "_vms_by_pool",
        "allotments",
        "dispatchers",
        "entries",
        "index",
        "resources",
        "vms",
        "waves",
    )

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Empty the view."""
        self.index = 0
        self.resources: dict[Kind, dict[str, Resource]] = {kind: {} for kind in Kind}
        self.vms: dict[str, VmRecord] = {}
        self.waves: dict[str, WaveRecord] = {}
        self.entries: dict[str, EntryRecord] = {}
        self.dispatchers: dict[str, DispatcherLease] = {}
        self.allotments: dict[tuple[str, str], Allotment] = {}
        self._vms_by_pool: dict[str, dict[str, VmRecord]] = {}
        self._n_allotted: Counter[str] = Counter()

    def spec(self, kind: Kind, name: str) -> Spec | None:
        """Return a resource's specification, or None when there is none."""
        resource = self.resources[kind].get(name)
        return None if resource is None else resource.spec

    def pool(self, name: str) -> PoolSpec | None:
        """Return a pool's specification."""
        return self.spec(Kind.POOL, name)

    def team(self, name: str) -> TeamSpec:
        """Return a team's specification; an undeclared team has no limit."""
        return self.spec(Kind.TEAM, name) or UNLIMITED_TEAM

    def queue(self, name: str) -> QueueSpec | None:
        """Return a queue's specification."""
        return self.spec(Kind.QUEUE, name)

    def key(self, name: str) -> KeySpec | None:
        """Return a key's specification."""
        return self.spec(Kind.KEY, name)

    def vm_spec(self, name: str) -> VmSpec | None:
        """Return a VM's specification."""
        return self.spec(Kind.VM, name)

    @property
    def site(self) -> SiteSpec:
        """Return what the site weighs."""
        return self.spec(Kind.SITE, "default") or DEFAULT_SITE

    def vms_of(self, pool: str) -> list[VmRecord]:
        """Return the VMs of a pool."""
        return list(self._vms_by_pool.get(pool, {}).values())

    def pending_vms(self, wave: str) -> list[VmRecord]:
        """Return the VMs that a wave has still to take."""
        return [vm for vm in self.vms.values() if wave in vm.waits_for]

    def active_vms(self, wave: str) -> list[VmRecord]:
        """Return the VMs that a wave holds in maintenance."""
        return [vm for vm in self.vms.values() if vm.wave == wave]

    def allotted(self, team: str) -> int:
        """Return how much of a team's limit is allotted over all pools."""
        return self._n_allotted[team]

    def allotment(self, team: str, pool: str) -> Allotment:
        """Return a pool's allotment of a team, empty when there is none."""
        return self.allotments.get(
            (team, pool), Allotment(team=team, pool=pool, count=0, version=0)
        )

    def fencing_token(self, vm: str) -> int:
        """Return the token that newer assignments of a VM's work exceed.

        It grows when the VM changes its pool and when the pool changes its
        dispatcher; an endpoint refuses work under a lower one than it has seen.
        """
        record = self.vms[vm]
        lease = self.dispatchers.get(record.pool)
        return max(record.assigned_at, 0 if lease is None else lease.epoch)

    def apply(self, change: Change) -> None:
        """Take over one change."""
        self._put(change.row)
        self.index = max(self.index, change.index)

    def snapshot(self) -> ViewSnapshot:
        """Return the whole view."""
        tables = [*self.resources.values()]
        tables += [self.vms, self.waves, self.entries]
        tables += [self.dispatchers, self.allotments]
        rows = tuple(row for table in tables for row in table.values())
        return ViewSnapshot(index=self.index, rows=rows)

    def restore(self, snapshot: ViewSnapshot) -> None:
        """Replace everything by a snapshot."""
        self.clear()
        for row in snapshot.rows:
            self._put(row)
        self.index = snapshot.index

    @singledispatchmethod
    def _put(self, row: Row) -> None:
        raise TypeError(f"not a row of a view: {type(row).__name__}")

    @_put.register
    def _(self, row: Resource) -> None:
        self.resources[kind_of(row.spec)][row.name] = row

    @_put.register
    def _(self, row: VmRecord) -> None:
        self._remove_vm(row.name)
        self.vms[row.name] = row
        self._vms_by_pool.setdefault(row.pool, {})[row.name] = row

    @_put.register
    def _(self, row: WaveRecord) -> None:
        self.waves[row.name] = row

    @_put.register
    def _(self, row: EntryRecord) -> None:
        self.entries[row.entry_id] = row

    @_put.register
    def _(self, row: DispatcherLease) -> None:
        self.dispatchers[row.pool] = row

    @_put.register
    def _(self, row: Allotment) -> None:
        self._n_allotted[row.team] += row.count
        self._n_allotted[row.team] -= self.allotment(row.team, row.pool).count
        self.allotments[row.team, row.pool] = row

    @_put.register
    def _(self, row: Removed) -> None:
        match row.table:
            case Table.RESOURCES:
                self.resources[Kind(row.key[0])].pop(row.key[1], None)
            case Table.VMS:
                self._remove_vm(row.key[0])
            case Table.WAVES:
                self.waves.pop(row.key[0], None)
            case Table.ENTRIES:
                self.entries.pop(row.key[0], None)
            case Table.DISPATCHERS:
                self.dispatchers.pop(row.key[0], None)
            case Table.ALLOTMENTS:
                self._remove_allotment(row.key[0], row.key[1])

    def _remove_vm(self, name: str) -> None:
        record = self.vms.pop(name, None)
        if record is None:
            return
        of_pool = self._vms_by_pool[record.pool]
        del of_pool[name]
        if not of_pool:
            del self._vms_by_pool[record.pool]

    def _remove_allotment(self, team: str, pool: str) -> None:
        self._n_allotted[team] -= self.allotment(team, pool).count
        self.allotments.pop((team, pool), None)
