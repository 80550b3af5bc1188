"""The leader's side of the entries' leases."""

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
    """A lease that may still be held, and the view that came with it."""

    ends_at: timedelta
    index: int


class _EntryLease:
    """What the leader knows of one entry's lease."""

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

    def drop_ended(self, now: timedelta) -> None:
        while self.granted and self.granted[0].ends_at <= now:
            self.granted.popleft()

    def applied_at_least(self, index: int) -> int:
        """Return the view that the entry surely has wherever its lease holds."""
        if not self.granted:
            return index
        return max(self.acked_index, min(g.index for g in self.granted))


class LeaseGranter:
    """Grants the entries' leases and knows what is in force everywhere.

    It lives as long as one leadership. Leases that an earlier leader may have granted
    are waited out before any entry is taken for gone.

    Parameters
    ----------
    cfg : LeaseSettings
        How long leases last.
    view : FleetView
        The leader's view, as committed.
    changes : ChangeLog
        The latest changes of that view.
    term : int
        The leader's term.
    now : timedelta
        When the leadership began.
    has_quorum : callable
        Tells whether this leader surely is the only one at a time.
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
            # An earlier leader may have granted a lease up to now, on any view.
            self._adopt(entry.entry_id, entry.incarnation, now, 0)

    def _adopt(
        self, entry_id: str, incarnation: str, now: timedelta, index: int
    ) -> _EntryLease:
        """Take an entry for holding a lease from `now` on under the view `index`."""
        lease = _EntryLease(incarnation)
        ends_at = now + self._cfg.duration + self._cfg.margin
        lease.granted.append(_Granted(ends_at, index))
        self._leases[entry_id] = lease
        return lease

    def handle_renewal(
        self, msg: LeaseRenewal, now: timedelta
    ) -> tuple[LeaseGrant | None, tuple[Command, ...]]:
        """Answer a renewal.

        Returns
        -------
        grant : LeaseGrant or None
            The answer; None when this leader may not speak for the log.
        commands : tuple of Command
            What to propose.
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
            lease = self._adopt(msg.entry_id, msg.incarnation, now, self._view.index)
        lease.acked_index = max(lease.acked_index, msg.applied_index)
        lease.is_stopping = msg.stopping
        lease.drop_ended(now)
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
        """Return the changes that entries have not been sent yet, with no lease."""
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
        """Return what to propose: entries that are gone, pools without dispatcher."""
        if not self._has_quorum(now):
            return []
        commands: list[Command] = []
        for entry in self._view.entries.values():
            lease = self._leases.get(entry.entry_id)
            if lease is None or lease.incarnation != entry.incarnation:
                # Registered just now, so no grant of any older view is out.
                lease = self._adopt(
                    entry.entry_id, entry.incarnation, now, self._view.index
                )
            lease.drop_ended(now)
            if not lease.granted:
                lease.is_leaving = True
            if lease.is_leaving:
                commands.append(_expire(entry.entry_id, lease))
        commands += self._assignments()
        self._in_force = max(self._in_force, self._find_in_force(now))
        return commands

    def _assignments(self) -> list[Command]:
        """Give each pool without a dispatcher to the entry with the fewest pools."""
        able = {
            entry.entry_id: 0
            for entry in self._view.entries.values()
            if self._may_dispatch(entry.entry_id)
        }
        if not able:
            return []
        for lease in self._view.dispatchers.values():
            if lease.entry_id in able:
                able[lease.entry_id] += 1
        commands: list[Command] = []
        for pool in sorted(self._view.resources[Kind.POOL]):
            if pool in self._view.dispatchers:
                continue
            entry_id = min(able, key=lambda name: (able[name], name))
            able[entry_id] += 1
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

    def _find_in_force(self, now: timedelta) -> int:
        index = self._view.index
        for entry_id in self._view.entries:
            lease = self._leases[entry_id]
            lease.drop_ended(now)
            index = min(index, lease.applied_at_least(self._view.index))
        return index

    @property
    def in_force_index(self) -> int:
        """Return the log index up to which everything is in force everywhere."""
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
