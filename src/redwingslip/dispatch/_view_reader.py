"""Transfer of the shared view into the state of a dispatcher."""

from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod

from ..fleet import (
    Allotment,
    Change,
    DispatcherLease,
    FleetView,
    Kind,
    QueueSpec,
    Removed,
    Resource,
    Table,
    TeamSpec,
    VmRecord,
    VmSpec,
)
from ._capacity import PoolCapacity
from ._limits import AllotmentManager
from ._scheduler import Scheduler

__all__ = ["ViewReader"]


class ViewReader:
    """Reads the rows of the view that concern one pool.

    Attributes
    ----------
    is_replaced : bool
        Whether the view names another dispatcher of the pool, or none.
    shrinkable : set of str
        Teams whose allotment may have a recalled part to return.
    """

    __slots__ = (
        "_allotments",
        "_capacity",
        "_epoch",
        "_pool",
        "_scheduler",
        "_view",
        "is_replaced",
        "shrinkable",
    )

    def __init__(
        self,
        *,
        pool: str,
        epoch: int,
        view: FleetView,
        capacity: PoolCapacity,
        scheduler: Scheduler,
        allotments: AllotmentManager,
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._view = view
        self._capacity = capacity
        self._scheduler = scheduler
        self._allotments = allotments
        self.is_replaced = False
        self.shrinkable: set[str] = set()

    def read_all(self, now: timedelta) -> None:
        """Read the whole view."""
        self._read_lease(now)
        for name in [name for name in self._capacity.vms if name not in self._view.vms]:
            self._capacity.drop_vm(name)
        for name in list(self._capacity.vms):
            self._capacity.put_vm(self._view.vms[name], now)
        for record in self._view.vms_of(self._pool):
            self._capacity.put_vm(record, now)
        for queue in self._view.resources[Kind.QUEUE].values():
            self._apply_spec(queue.spec, queue.name, now)
        self._update_total_share()
        for name in list(self._scheduler.teams):
            self.refresh_team(name)

    def read(self, changes: Iterable[Change], now: timedelta) -> None:
        """Read the changed rows."""
        for change in changes:
            self._apply_row(change.row, now)

    def ensure_team(self, name: str) -> None:
        """Read a team that has not been seen in this pool."""
        if name not in self._scheduler.teams:
            self.refresh_team(name)

    def refresh_team(self, name: str) -> None:
        """Read a team's share, limits and allotment."""
        team = self._scheduler.team(name)
        spec = self._view.team(name)
        self._scheduler.set_share(team, spec.share)
        team.max_waiting = spec.max_waiting
        team.limit = self._allotments.max_running(name)
        self.shrinkable.add(name)
        self._scheduler.unpark(team)

    def _read_lease(self, now: timedelta) -> None:
        """Read whether this epoch is still the pool's dispatcher.

        A view that is older than this epoch does not show its lease yet.
        """
        if not self._capacity.is_current and self._view.index >= self._epoch:
            self.is_replaced = True
        self._capacity.refresh_all(now)

    def _update_total_share(self) -> None:
        self._scheduler.total_share = sum(
            team.spec.share for team in self._view.resources[Kind.TEAM].values()
        )

    @singledispatchmethod
    def _apply_row(self, row: object, now: timedelta) -> None:
        """Apply one changed row of the view."""

    @_apply_row.register
    def _(self, row: VmRecord, now: timedelta) -> None:
        if row.pool == self._pool or row.name in self._capacity.vms:
            self._capacity.put_vm(row, now)

    @_apply_row.register
    def _(self, row: DispatcherLease, now: timedelta) -> None:
        if row.pool == self._pool:
            self._read_lease(now)

    @_apply_row.register
    def _(self, row: Allotment, now: timedelta) -> None:
        if row.pool == self._pool:
            self.refresh_team(row.team)

    @_apply_row.register
    def _(self, row: Resource, now: timedelta) -> None:
        self._apply_spec(row.spec, row.name, now)

    @_apply_row.register
    def _(self, row: Removed, now: timedelta) -> None:
        if row.table is Table.VMS:
            self._capacity.drop_vm(row.key[0])
        elif row.table in (Table.RESOURCES, Table.DISPATCHERS, Table.ALLOTMENTS):
            self.read_all(now)

    @singledispatchmethod
    def _apply_spec(self, spec: object, name: str, now: timedelta) -> None:
        """Apply one changed resource."""

    @_apply_spec.register
    def _(self, spec: QueueSpec, name: str, now: timedelta) -> None:
        if spec.pool == self._pool:
            self._capacity.raise_longest_run(spec.max_run)

    @_apply_spec.register
    def _(self, spec: VmSpec, name: str, now: timedelta) -> None:
        if name in self._capacity.vms:
            self._capacity.put_vm(self._view.vms[name], now)

    @_apply_spec.register
    def _(self, spec: TeamSpec, name: str, now: timedelta) -> None:
        self._update_total_share()
        if name in self._scheduler.teams:
            self.refresh_team(name)
