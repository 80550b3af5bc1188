"""The limit on the connections that all servers of a process hold together."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from ._body_budget import RefusalCause

__all__ = ["ConnectionTable", "Idleness", "TableConnection"]


class Idleness(enum.IntEnum):
    """How far a connection can be given up; the highest goes first."""

    IN_USE = 0
    STALLED_BODY = 1
    REST_OF_BODY = 2
    BETWEEN_REQUESTS = 3
    WAITING_FOR_HEAD = 4


class TableConnection(Protocol):
    """A connection as the table sees it."""

    peer: str

    def idleness(self) -> Idleness:
        """Return how far the connection can be given up."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """Admits connections up to a limit; above it, it closes idle ones for new ones.

    A connection is closed for a new one if it waits for a head, is idle between
    requests, sends the rest of a refused body, or has stalled within a body, in this
    order; among equals the oldest of the peer with most connections. Any other one
    whose request is in progress stays, and if all do, the new connection is closed.

    Parameters
    ----------
    max_connections : int
        Limit of the connections that are open at the same time.
    """

    __slots__ = ("_connections", "_n_of_peer", "max_connections", "on_refusal")

    def __init__(self, max_connections: int) -> None:
        # The order of insertion is the order of age.
        self._connections: dict[TableConnection, None] = {}
        self._n_of_peer: Counter[str] = Counter()
        self.max_connections = max_connections
        self.on_refusal: Callable[[RefusalCause], None] = lambda cause: None

    def __len__(self) -> int:
        return len(self._connections)

    def admit(self, conn: TableConnection) -> bool:
        """Add a new connection, or return False if it has to be closed."""
        if len(self._connections) >= self.max_connections:
            victim = self._most_idle()
            if victim is None:
                self.on_refusal(RefusalCause.CONNECTIONS)
                return False
            self.on_refusal(RefusalCause.IDLE_CONNECTION)
            self.remove(victim)
            victim.abort()
        self._connections[conn] = None
        self._n_of_peer[conn.peer] += 1
        return True

    def remove(self, conn: TableConnection) -> None:
        """Remove a connection, if it is in the table."""
        if conn not in self._connections:
            return
        del self._connections[conn]
        self._n_of_peer[conn.peer] -= 1
        if not self._n_of_peer[conn.peer]:
            del self._n_of_peer[conn.peer]

    def _most_idle(self) -> TableConnection | None:
        best = None
        best_key = (Idleness.IN_USE, 0)
        for conn in self._connections:
            key = (conn.idleness(), self._n_of_peer[conn.peer])
            if key[0] > Idleness.IN_USE and key > best_key:
                best, best_key = conn, key
        return best
