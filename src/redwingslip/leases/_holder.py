"""The entry's side of its lease and of the replicated view."""

from collections import OrderedDict
from datetime import timedelta

from ..fleet import Change, FleetView
from ..peers import LeaseGrant, LeaseRenewal
from ..settings import LeaseSettings

__all__ = ["LeaseHolder"]

MAX_TRACKED_RENEWALS = 64


class LeaseHolder:
    """Requests the lease, applies the changes sent with it and tracks when it ends.

    The lease counts from the time at which the renewal was sent, so a slow answer only
    shortens it. Changes are applied once, in the order of the log. A grant whose
    changes do not continue the view is ignored.

    Parameters
    ----------
    cfg : LeaseSettings
        Settings of the leases.
    entry_id, incarnation, address, data_centre : str
        Identity of this entry.
    view : FleetView
        The entry's view. Only this object changes it.

    Attributes
    ----------
    in_force_index : int
        Highest log index that the leader reported to be in force on every entry.
    """

    __slots__ = (
        "_address",
        "_cfg",
        "_data_centre",
        "_ends_at",
        "_entry_id",
        "_incarnation",
        "_number",
        "_sent_at",
        "_term",
        "in_force_index",
        "view",
    )

    def __init__(
        self,
        *,
        cfg: LeaseSettings,
        entry_id: str,
        incarnation: str,
        address: str,
        data_centre: str,
        view: FleetView,
    ) -> None:
        self._cfg = cfg
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._number = 0
        self._sent_at: OrderedDict[int, timedelta] = OrderedDict()
        self._ends_at = timedelta(0)
        self._term = 0
        self.in_force_index = 0
        self.view = view

    @property
    def ends_at(self) -> timedelta:
        """Return the monotonic time at which the lease ends."""
        return self._ends_at

    def is_valid(self, now: timedelta) -> bool:
        """Return whether the lease is valid at `now`."""
        return now < self._ends_at

    def next_renewal(
        self, now: timedelta, *, stopping: bool = False, leaving: bool = False
    ) -> LeaseRenewal:
        """Return the next renewal, to be sent immediately.

        Parameters
        ----------
        now : timedelta
            Monotonic time, from which a granted lease counts.
        stopping : bool
            Whether the entry finishes its work and must not get further pools.
        leaving : bool
            Whether the entry has finished. It gives up its lease immediately.
        """
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > MAX_TRACKED_RENEWALS:
            self._sent_at.popitem(last=False)
        if leaving:
            self._ends_at = timedelta(0)
            self._sent_at.clear()
        return LeaseRenewal(
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            address=self._address,
            data_centre=self._data_centre,
            number=self._number,
            applied_index=self.view.index,
            stopping=stopping,
            leaving=leaving,
        )

    def apply_grant(self, msg: LeaseGrant) -> tuple[Change, ...] | None:
        """Apply a grant: its changes or snapshot, and the lease if it gives one.

        A grant for another incarnation or from an earlier term is ignored. The lease is
        extended only if the view has reached the log index of the grant.

        Returns
        -------
        changes : tuple of Change, or None
            The changes that were new; None if the whole view was replaced.
        """
        if msg.incarnation != self._incarnation or msg.term < self._term:
            return ()
        self._term = msg.term
        changes = self._update_view(msg)
        if self.view.index < msg.index:
            return changes
        self.in_force_index = max(self.in_force_index, msg.in_force_index)
        sent_at = self._sent_at.pop(msg.number, None)
        if sent_at is not None and msg.duration > timedelta(0):
            self._ends_at = max(self._ends_at, sent_at + msg.duration)
        return changes

    def _update_view(self, msg: LeaseGrant) -> tuple[Change, ...] | None:
        if msg.snapshot is not None:
            if msg.snapshot.index <= self.view.index:
                return ()
            self.view.restore(msg.snapshot)
            return None
        if msg.from_index > self.view.index:
            return ()
        new_changes = tuple(c for c in msg.changes if c.index > self.view.index)
        for change in new_changes:
            self.view.apply(change)
        self.view.index = max(self.view.index, msg.index)
        return new_changes
