"""The part of the replicated state that is sent to every entry.

A view changes only through `Change` records, which result from applying commands. An
entry that applies all changes in order has the same view as the replicas.
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
    """Base class of the rows of a view."""


class VmRecord(_Row, frozen=True, tag=True):
    """The pool, phase and health of a VM.

    Attributes
    ----------
    pool : str
        The pool that the VM belongs to.
    phase : VmPhase
        Whether the VM serves, drains for a move or removal, or is in maintenance.
    health : VmHealth
        The health as last reported by the pool's dispatcher.
    move_to : str
        The target pool of the VM's move; empty when no move is in progress.
    wave : str
        The wave for which the VM is in maintenance; empty for none.
    waits_for : tuple of str
        The waves in which the VM's maintenance is still pending.
    assigned_at : int
        Log index at which the VM joined its pool or completed its last reboot.
    joined : bool
        Whether the VM's endpoints have served in this pool. Only then does its
        absence count against the budget.
    slots : int
        Number of requests that the VM's endpoints run at the same time.
    removing : bool
        Whether the VM is being removed from the fleet.
    rebooted : bool
        Whether the reboot of the VM's maintenance is complete.
    drain_index : int
        Log index at which the current drain started, 0 while the VM serves.
    lent : bool
        Whether an automatic move has brought, or is bringing, the VM to a pool other
        than its desired one.
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
        """Whether the VM can accept new work."""
        return self.phase is VmPhase.SERVING and self.health is VmHealth.UP


class WaveRecord(_Row, frozen=True, tag=True):
    """Progress of a maintenance wave, as counts of its VMs.

    `VmRecord.waits_for` and `VmRecord.wave` show which VMs are pending and active.

    Attributes
    ----------
    n_pending : int
        Number of VMs whose maintenance has not started.
    n_active : int
        Number of VMs in maintenance.
    n_done : int
        Number of VMs that serve again after their maintenance.
    n_skipped : int
        Number of VMs that were removed or whose reboot the platform refused.
    """

    name: str
    n_pending: int = 0
    n_active: int = 0
    n_done: int = 0
    n_skipped: int = 0

    @property
    def is_done(self) -> bool:
        """Whether no VM of the wave is pending or in maintenance."""
        return not self.n_pending and not self.n_active

    def with_counts_added(
        self, *, pending: int = 0, active: int = 0, done: int = 0, skipped: int = 0
    ) -> "WaveRecord":
        """Return a copy of the record with these numbers added to its counts."""
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
    """The entry that dispatches a pool; `epoch` is the log index of its assignment."""

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
    """The removal of a row; `key` identifies it within its table."""

    table: Table
    key: tuple[str, ...]


Row = Resource | VmRecord | WaveRecord | EntryRecord | DispatcherLease | Allotment


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A row that the command at log index `index` has written or removed."""

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
    """A complete view as of a log index."""

    index: int
    rows: tuple[
        Resource | VmRecord | WaveRecord | EntryRecord | DispatcherLease | Allotment,
        ...,
    ]


class FleetView:
    """The resources and the decisions about them as of one log index.

    Attributes
    ----------
    index : int
        Log index of the last command that is reflected in the view.
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
        """Return a resource's specification, or None if it does not exist."""
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
        """Return the specification of the site."""
        return self.spec(Kind.SITE, "default") or DEFAULT_SITE

    def vms_of(self, pool: str) -> list[VmRecord]:
        """Return the VMs of a pool."""
        return list(self._vms_by_pool.get(pool, {}).values())

    def pending_vms(self, wave: str) -> list[VmRecord]:
        """Return the VMs whose maintenance in a wave has not started."""
        return [vm for vm in self.vms.values() if wave in vm.waits_for]

    def active_vms(self, wave: str) -> list[VmRecord]:
        """Return the VMs that are in maintenance for a wave."""
        return [vm for vm in self.vms.values() if vm.wave == wave]

    def allotted(self, team: str) -> int:
        """Return the sum of a team's allotments over all pools."""
        return self._n_allotted[team]

    def allotment(self, team: str, pool: str) -> Allotment:
        """Return a team's allotment in a pool, with count 0 if there is none."""
        return self.allotments.get(
            (team, pool), Allotment(team=team, pool=pool, count=0, version=0)
        )

    def fencing_token(self, vm: str) -> int:
        """Return the current fencing token of a VM.

        The token increases when the VM changes its pool or is rebooted, and when the
        pool changes its dispatcher. An endpoint refuses work with a token lower than
        the highest one that it has seen.
        """
        record = self.vms[vm]
        lease = self.dispatchers.get(record.pool)
        return max(record.assigned_at, 0 if lease is None else lease.epoch)

    def apply(self, change: Change) -> None:
        """Apply one change to the view."""
        self._put(change.row)
        self.index = max(self.index, change.index)

    def snapshot(self) -> ViewSnapshot:
        """Return a snapshot of the whole view."""
        tables = [*self.resources.values()]
        tables += [self.vms, self.waves, self.entries]
        tables += [self.dispatchers, self.allotments]
        rows = tuple(row for table in tables for row in table.values())
        return ViewSnapshot(index=self.index, rows=rows)

    def restore(self, snapshot: ViewSnapshot) -> None:
        """Replace the whole view with a snapshot."""
        self.clear()
        for row in snapshot.rows:
            self._put(row)
        self.index = snapshot.index

    @singledispatchmethod
    def _put(self, row: Row) -> None:
        raise TypeError(f"unsupported row type {type(row).__name__}")

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
        vms_of_pool = self._vms_by_pool[record.pool]
        del vms_of_pool[name]
        if not vms_of_pool:
            del self._vms_by_pool[record.pool]

    def _remove_allotment(self, team: str, pool: str) -> None:
        self._n_allotted[team] -= self.allotment(team, pool).count
        self.allotments.pop((team, pool), None)
