"""Connections grouped by peer, in the order in which they are given up."""

from collections import OrderedDict
from typing import Generic, Protocol, TypeVar

__all__ = ["PeerGroups"]


class _FromPeer(Protocol):
    peer: str


C = TypeVar("C", bound=_FromPeer)


class PeerGroups(Generic[C]):
    """Connections by peer, with the peer that has most of them at hand.

    Each operation takes constant time, since the size of a group changes by one.
    """

    __slots__ = ("_max_size", "_of_peer", "_peers_by_size")

    def __init__(self) -> None:
        # The order of insertion is the order of age.
        self._of_peer: dict[str, dict[C, None]] = {}
        self._peers_by_size: dict[int, OrderedDict[str, None]] = {}
        self._max_size = 0

    def __contains__(self, conn: C) -> bool:
        return conn in self._of_peer.get(conn.peer, ())

    @property
    def n_peers(self) -> int:
        """Return the number of peers with a connection."""
        return len(self._of_peer)

    @property
    def max_size(self) -> int:
        """Return the largest number of connections of one peer."""
        return self._max_size

    def size(self, peer: str) -> int:
        """Return the number of connections of a peer."""
        return len(self._of_peer.get(peer, ()))

    def add(self, conn: C) -> None:
        """Add a connection that is not there yet."""
        group = self._of_peer.setdefault(conn.peer, {})
        self._move(conn.peer, len(group), len(group) + 1)
        group[conn] = None

    def remove(self, conn: C) -> None:
        """Remove a connection that is there."""
        group = self._of_peer[conn.peer]
        self._move(conn.peer, len(group), len(group) - 1)
        del group[conn]
        if not group:
            del self._of_peer[conn.peer]

    def busiest(self) -> str:
        """Return the peer with most connections; there must be one."""
        return next(iter(self._peers_by_size[self._max_size]))

    def oldest_of(self, peer: str) -> C | None:
        """Return the connection of a peer that was added first."""
        return next(iter(self._of_peer.get(peer, ())), None)

    def oldest_of_busiest(self) -> C | None:
        """Return the oldest connection of the peer with most of them."""
        return self.oldest_of(self.busiest()) if self._of_peer else None

    def _move(self, peer: str, before: int, after: int) -> None:
        """Move a peer between the sets of the peers with as many connections."""
        if before:
            peers = self._peers_by_size[before]
            del peers[peer]
            if not peers:
                del self._peers_by_size[before]
        if after:
            peers = self._peers_by_size.setdefault(after, OrderedDict())
            peers[peer] = None
            if after < before:
                # Among peers with as many, one that had more goes first.
                peers.move_to_end(peer, last=False)
        if after > self._max_size or (
            before == self._max_size and before not in self._peers_by_size
        ):
            self._max_size = after
