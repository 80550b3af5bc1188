"""The limit on the connections that all servers of a process hold together."""

import enum
import heapq
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from ..clock import Clock, SystemClock
from ._body_budget import RefusalCause
from ._peer_groups import PeerGroups

__all__ = ["ConnectionTable", "Idleness", "TableConnection"]

# Part of the limit by which connections that end after their answer may exceed it.
RETIRING_FRACTION = 1 / 8
# When to look again at a connection whose body can't be dropped.
RECHECK_AFTER = timedelta(seconds=1)
# Outdated entries are removed from the heap once there are as many as valid ones.
MIN_HEAP_SIZE = 64


class Idleness(enum.IntEnum):
    """How far a connection can be given up; the highest goes first."""

    IN_USE = 0
    RECEIVING_BODY = 1
    REST_OF_BODY = 2
    BETWEEN_REQUESTS = 3
    WAITING_FOR_HEAD = 4


# Those that can be given up for any new connection, in this order.
IDLE = (
    Idleness.WAITING_FOR_HEAD,
    Idleness.BETWEEN_REQUESTS,
    Idleness.REST_OF_BODY,
)


class TableConnection(Protocol):
    """A connection as the table sees it.

    It calls `ConnectionTable.update` when its idleness changes.
    """

    peer: str

    def idleness(self) -> Idleness:
        """Return how far the connection can be given up."""

    def stalls_at(self) -> timedelta | None:
        """Return when its body counts as stalled; None if it can't be dropped."""

    def abort(self) -> None:
        """Close the connection at once."""

    def retire(self) -> None:
        """Close the connection after its answer."""


class ConnectionTable:
    """Admits connections up to a limit; above it, it closes others for new ones.

    A connection is closed for a new one if it waits for a head, is idle between
    requests, or sends the rest of a refused body, in this order; among equals the
    oldest of the peer with most of them. Next is one whose body has stalled.

    Otherwise, a new connection of a peer that has less than an equal share replaces one
    of the peer with most connections, if that has more than its share: one that
    receives a body, as its request has not run, or else one whose request runs, which
    is closed after its answer. In any other case the new connection is closed.

    Each operation takes logarithmic time, apart from bodies that were about to stall:
    each of these is looked at once in the time after which a body counts as stalled.

    Parameters
    ----------
    max_connections : int
        Limit of the connections that are open at the same time. Up to an eighth more
        may be open that end after their answers.
    clock : Clock or None
        The system clock by default.
    """

    __slots__ = (
        "_all",
        "_by_level",
        "_clock",
        "_level_of",
        "_retiring",
        "_stalls",
        "max_connections",
        "on_refusal",
    )

    def __init__(self, max_connections: int, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._all: PeerGroups[TableConnection] = PeerGroups()
        self._by_level: dict[Idleness, PeerGroups[TableConnection]] = {
            level: PeerGroups() for level in Idleness
        }
        # The levels of the connections that are not retiring.
        self._level_of: dict[TableConnection, Idleness] = {}
        self._retiring: set[TableConnection] = set()
        self._stalls = _StallQueue()
        self.max_connections = max_connections
        self.on_refusal: Callable[[RefusalCause], None] = lambda cause: None

    def __len__(self) -> int:
        return len(self._level_of) + len(self._retiring)

    def admit(self, conn: TableConnection) -> bool:
        """Add a new connection, or return False if it has to be closed."""
        is_full = len(self._level_of) >= self.max_connections
        if is_full and not self._make_room(conn.peer):
            self.on_refusal(RefusalCause.CONNECTIONS)
            return False
        self._all.add(conn)
        self._set_level(conn, conn.idleness())
        return True

    def update(self, conn: TableConnection) -> None:
        """Note that the idleness of a connection may have changed."""
        level = self._level_of.get(conn)
        if level is None:
            return
        new_level = conn.idleness()
        if new_level is not level:
            self._leave_level(conn)
            self._set_level(conn, new_level)

    def remove(self, conn: TableConnection) -> None:
        """Remove a connection, if it is in the table."""
        if conn in self._retiring:
            self._retiring.remove(conn)
        elif conn in self._level_of:
            self._leave_level(conn)
        else:
            return
        self._all.remove(conn)

    def _set_level(self, conn: TableConnection, level: Idleness) -> None:
        self._level_of[conn] = level
        self._by_level[level].add(conn)
        if level is Idleness.RECEIVING_BODY:
            self._stalls.add(conn, self._clock.monotonic())

    def _leave_level(self, conn: TableConnection) -> None:
        level = self._level_of.pop(conn)
        self._by_level[level].remove(conn)
        if level is Idleness.RECEIVING_BODY:
            self._stalls.discard(conn)

    def _make_room(self, peer: str) -> bool:
        """Close a connection for a new one of a peer; return whether it may stay."""
        for level in IDLE:
            victim = self._by_level[level].oldest_of_busiest()
            if victim is not None:
                return self._close(victim, RefusalCause.IDLE_CONNECTION)
        victim = self._stalls.find(self._clock.monotonic())
        if victim is not None:
            return self._close(victim, RefusalCause.IDLE_CONNECTION)
        return self._take_share(peer)

    def _take_share(self, peer: str) -> bool:
        """Close a connection of the peer with most of them, now or after its answer."""
        n_own = self._all.size(peer)
        share = self.max_connections / (self._all.n_peers + (not n_own))
        if n_own + 1 > share or self._all.max_size <= share:
            return False
        busiest = self._all.busiest()
        victim = self._by_level[Idleness.RECEIVING_BODY].oldest_of(busiest)
        if victim is not None:
            return self._close(victim, RefusalCause.CONNECTION_SHARE)
        victim = self._by_level[Idleness.IN_USE].oldest_of(busiest)
        max_retiring = max(1, int(self.max_connections * RETIRING_FRACTION))
        if victim is None or len(self._retiring) >= max_retiring:
            return False
        self.on_refusal(RefusalCause.CONNECTION_SHARE)
        self._leave_level(victim)
        self._retiring.add(victim)
        victim.retire()
        return True

    def _close(self, victim: TableConnection, cause: RefusalCause) -> bool:
        self.on_refusal(cause)
        self.remove(victim)
        victim.abort()
        return True


class _StallQueue:
    """The connections that receive bodies, by the time of the next look at them."""

    __slots__ = ("_heap", "_last_number", "_number_of")

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, int, TableConnection]] = []
        # The number of the valid entry of each connection.
        self._number_of: dict[TableConnection, int] = {}
        self._last_number = 0

    def add(self, conn: TableConnection, at: timedelta) -> None:
        """Add a connection, or set the time of the next look at it."""
        self._last_number += 1
        self._number_of[conn] = self._last_number
        heapq.heappush(self._heap, (at, self._last_number, conn))

    def discard(self, conn: TableConnection) -> None:
        """Remove a connection; its entry in the heap stays for a while."""
        self._number_of.pop(conn, None)
        if len(self._heap) > MIN_HEAP_SIZE + 2 * len(self._number_of):
            self._heap = [e for e in self._heap if self._number_of.get(e[2]) == e[1]]
            heapq.heapify(self._heap)

    def find(self, now: timedelta) -> TableConnection | None:
        """Return a connection whose body has stalled; None if there is none."""
        while self._heap and self._heap[0][0] <= now:
            _, number, conn = heapq.heappop(self._heap)
            if self._number_of.get(conn) != number:
                continue
            stalls_at = conn.stalls_at()
            if stalls_at is not None and stalls_at <= now:
                return conn
            if stalls_at is None:
                stalls_at = now + RECHECK_AFTER
            self.add(conn, stalls_at)
        return None
