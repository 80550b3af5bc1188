"""The leader's side of the leases of entries."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..fleet import (
    AssignDispatcher,
    Command,
    ExpireEntry,
    FleetView,
    Kind,
    RegisterEntry,
)
from ..peers import LeaseGrant, LeaseRenewal
from ..settings import LeaseSettings
from ._change_log import ChangeLog

__all__ = ["LeaseGranter"]


class _Granted(msgspec.Struct, frozen=True):
    """A granted lease that its entry may still hold.

    Attributes
    ----------
    ends_at : timedelta
        Monotonic time by which the lease has expired at its holder, including the
        margin for clocks of different rates.
    index : int
        Log index of the view that was sent with the lease.
    """

    ends_at: timedelta
    index: int


class _EntryLease:
    """The leader's knowledge of the leases of one entry.

    Attributes
    ----------
    acked_index : int
        Highest log index that the entry reported as applied.
    sent_index : int
        Log index up to which changes were sent; 0 before the first lease.
    granted : deque of _Granted
        Leases that may still be held, the oldest first.
    is_leaving : bool
        Whether the entry left or its leases have expired. It gets no further lease.
    is_stopping : bool
        Whether the entry finishes its work and must not get further pools.
    """

    __slots__ = (
        "acked_index",
        "granted",
        "incarnation",
        "is_leaving",
        "is_stopping",
        "sent_index",
    )

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.acked_index = 0
        self.sent_index = 0
        self.granted: deque[_Granted] = deque()
        self.is_leaving = False
        self.is_stopping = False

    def drop_expired(self, now: timedelta) -> None:
        while self.granted and self.granted[0].ends_at <= now:
            self.granted.popleft()

    def min_applied_index(self, index: int) -> int:
        """Return a log index that the entry has applied if it holds a valid lease.

        A lease becomes valid at its holder only once the view sent with it is applied.
        Without a granted lease the result is `index`, the log index of the leader.
        """
        if not self.granted:
            return index
        return max(self.acked_index, min(g.index for g in self.granted))


class LeaseGranter:
    """Grants the leases of entries and tracks what is in force on all entries.

    An instance serves for one term of leadership. Before it expires any entry, it waits
    until the leases that an earlier leader may have granted have expired.

    Parameters
    ----------
    cfg : LeaseSettings
        Settings of the leases.
    view : FleetView
        The leader's view of the committed log.
    changes : ChangeLog
        The latest changes of that view.
    term : int
        The leader's term.
    now : timedelta
        Monotonic time at which the leadership began.
    has_quorum : callable
        Returns whether this leader holds the lease of a quorum at a given monotonic
        time, which rules out another leader.
    """

    __slots__ = (
        "_cfg",
        "_changes",
        "_has_quorum",
        "_in_force",
        "_leases",
        "_term",
        "_view",
    )

    def __init__(
        self,
        *,
        cfg: LeaseSettings,
        view: FleetView,
        changes: ChangeLog,
        term: int,
        now: timedelta,
        has_quorum: Callable[[timedelta], bool],
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._changes = changes
        self._term = term
        self._has_quorum = has_quorum
        self._leases: dict[str, _EntryLease] = {}
        self._in_force = 0
        for entry in view.entries.values():
            # An earlier leader may have granted a lease until `now`, with any view.
            self._track_entry(entry.entry_id, entry.incarnation, now, 0)

    def _track_entry(
        self, entry_id: str, incarnation: str, now: timedelta, index: int
    ) -> _EntryLease:
        """Track an entry as if it got a lease at `now` with the view at `index`."""
        lease = _EntryLease(incarnation)
        ends_at = now + self._cfg.duration + self._cfg.margin
        lease.granted.append(_Granted(ends_at, index))
        self._leases[entry_id] = lease
        return lease

    def handle_renewal(
        self, msg: LeaseRenewal, now: timedelta
    ) -> tuple[LeaseGrant | None, tuple[Command, ...]]:
        """Handle the renewal of an entry's lease.

        Returns
        -------
        grant : LeaseGrant or None
            The answer; None if this leader may have been replaced.
        commands : tuple of Command
            Commands to propose.
        """
        if not self._has_quorum(now):
            return None, ()
        entry = self._view.entries.get(msg.entry_id)
        if entry is None:
            self._leases.pop(msg.entry_id, None)
            register = () if msg.leaving else (_register(msg),)
            return self._grant(msg, timedelta(0)), register
        if entry.incarnation != msg.incarnation:
            return self._grant(msg, timedelta(0)), ()
        lease = self._leases.get(msg.entry_id)
        if lease is None or lease.incarnation != msg.incarnation:
            lease = self._track_entry(
                msg.entry_id, msg.incarnation, now, self._view.index
            )
        lease.acked_index = max(lease.acked_index, msg.applied_index)
        lease.is_stopping = msg.stopping
        lease.drop_expired(now)
        if msg.leaving:
            lease.is_leaving = True
            return self._grant(msg, timedelta(0)), (_expire(msg.entry_id, lease),)
        if lease.is_leaving:
            return self._grant(msg, timedelta(0)), ()
        ends_at = now + self._cfg.duration + self._cfg.margin
        lease.granted.append(_Granted(ends_at, self._view.index))
        lease.sent_index = self._view.index
        return self._grant(msg, self._cfg.duration), ()

    def _grant(self, msg: LeaseRenewal, duration: timedelta) -> LeaseGrant:
        changes = self._changes.after(msg.applied_index)
        snapshot = self._view.snapshot() if changes is None else None
        return LeaseGrant(
            number=msg.number,
            incarnation=msg.incarnation,
            term=self._term,
            duration=duration,
            from_index=msg.applied_index,
            index=self._view.index,
            changes=changes or (),
            snapshot=snapshot,
            in_force_index=self._in_force,
        )

    def take_pushes(self, now: timedelta) -> list[tuple[str, LeaseGrant]]:
        """Return grants without a lease that carry changes not yet sent to entries.

        Each grant comes with the id of its entry. The changes then count as sent.
        """
        if not self._has_quorum(now):
            return []
        pushes = []
        for entry_id, lease in self._leases.items():
            if lease.sent_index >= self._view.index or not lease.sent_index:
                continue
            changes = self._changes.after(lease.sent_index)
            if changes is None:
                continue
            push = LeaseGrant(
                number=0,
                incarnation=lease.incarnation,
                term=self._term,
                duration=timedelta(0),
                from_index=lease.sent_index,
                index=self._view.index,
                changes=changes,
                in_force_index=self._in_force,
            )
            lease.sent_index = self._view.index
            if changes:
                pushes.append((entry_id, push))
        return pushes

    def tick(self, now: timedelta) -> list[Command]:
        """Return the commands to propose and update the index in force everywhere.

        The commands expire entries without a lease and assign a dispatcher to pools
        that have none.
        """
        if not self._has_quorum(now):
            return []
        commands: list[Command] = []
        for entry in self._view.entries.values():
            lease = self._leases.get(entry.entry_id)
            if lease is None or lease.incarnation != entry.incarnation:
                # The entry has just registered, so no grant with an older view is in
                # flight.
                lease = self._track_entry(
                    entry.entry_id, entry.incarnation, now, self._view.index
                )
            lease.drop_expired(now)
            if not lease.granted:
                lease.is_leaving = True
            if lease.is_leaving:
                commands.append(_expire(entry.entry_id, lease))
        commands += self._assign_dispatchers()
        self._in_force = max(self._in_force, self._compute_in_force(now))
        return commands

    def _assign_dispatchers(self) -> list[Command]:
        """Assign each pool without a dispatcher to the entry with the fewest pools."""
        n_pools_by_entry = {
            entry.entry_id: 0
            for entry in self._view.entries.values()
            if self._may_dispatch(entry.entry_id)
        }
        if not n_pools_by_entry:
            return []
        for lease in self._view.dispatchers.values():
            if lease.entry_id in n_pools_by_entry:
                n_pools_by_entry[lease.entry_id] += 1
        commands: list[Command] = []
        for pool in sorted(self._view.resources[Kind.POOL]):
            if pool in self._view.dispatchers:
                continue
            entry_id = min(
                n_pools_by_entry, key=lambda name: (n_pools_by_entry[name], name)
            )
            n_pools_by_entry[entry_id] += 1
            commands.append(
                AssignDispatcher(
                    pool=pool,
                    entry_id=entry_id,
                    incarnation=self._view.entries[entry_id].incarnation,
                )
            )
        return commands

    def _may_dispatch(self, entry_id: str) -> bool:
        lease = self._leases.get(entry_id)
        if lease is None or lease.is_leaving or lease.is_stopping:
            return False
        return bool(lease.sent_index)

    def _compute_in_force(self, now: timedelta) -> int:
        index = self._view.index
        for entry_id in self._view.entries:
            lease = self._leases[entry_id]
            lease.drop_expired(now)
            index = min(index, lease.min_applied_index(self._view.index))
        return index

    @property
    def in_force_index(self) -> int:
        """Return the log index that every entry with a valid lease has applied."""
        return self._in_force


def _register(msg: LeaseRenewal) -> RegisterEntry:
    return RegisterEntry(
        entry_id=msg.entry_id,
        incarnation=msg.incarnation,
        address=msg.address,
        data_centre=msg.data_centre,
    )


def _expire(entry_id: str, lease: _EntryLease) -> ExpireEntry:
    return ExpireEntry(entry_id=entry_id, incarnation=lease.incarnation)
