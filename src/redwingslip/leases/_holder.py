"""The entry's side of its lease, and how it follows the replicated state."""

from collections import OrderedDict
from datetime import timedelta

from ..fleet import Change, FleetView
from ..peers import LeaseGrant, LeaseRenewal
from ..settings import LeaseSettings

__all__ = ["LeaseHolder"]

N_RENEWALS_REMEMBERED = 64


class LeaseHolder:
    """Asks for the lease, applies what comes with it, and knows when it ends.

    The lease counts from the moment the renewal was sent, so a slow answer only
    makes it shorter. Changes are applied in the order of the log and never twice; a
    grant that would leave a gap changes nothing.

    Parameters
    ----------
    cfg : LeaseSettings
        How long leases last.
    entry_id, incarnation, address, data_centre : str
        This entry.
    view : FleetView
        The entry's view, changed by this object only.

    Attributes
    ----------
    in_force_index : int
        What the leader last reported to be in force everywhere.
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
        """Return whether the lease holds at `now`."""
        return now < self._ends_at

    def next_renewal(
        self, now: timedelta, *, stopping: bool = False, leaving: bool = False
    ) -> LeaseRenewal:
        """Return the next renewal, to be sent at once."""
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > N_RENEWALS_REMEMBERED:
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
        """Take over a grant.

        Returns
        -------
        changes : tuple of Change, or None
            The changes that were new; None when the whole view was replaced.
        """
        if msg.incarnation != self._incarnation or msg.term < self._term:
            return ()
        self._term = msg.term
        changes = self._follow(msg)
        if self.view.index < msg.index:
            return changes
        self.in_force_index = max(self.in_force_index, msg.in_force_index)
        sent_at = self._sent_at.pop(msg.number, None)
        if sent_at is not None and msg.duration > timedelta(0):
            self._ends_at = max(self._ends_at, sent_at + msg.duration)
        return changes

    def _follow(self, msg: LeaseGrant) -> tuple[Change, ...] | None:
        if msg.snapshot is not None:
            if msg.snapshot.index <= self.view.index:
                return ()
            self.view.restore(msg.snapshot)
            return None
        if msg.from_index > self.view.index:
            return ()
        new = tuple(c for c in msg.changes if c.index > self.view.index)
        for change in new:
            self.view.apply(change)
        self.view.index = max(self.view.index, msg.index)
        return new
