"""The members of the cluster, according to the log."""

import msgspec

from ._messages import EntryKind, LogEntry, Member

__all__ = ["Membership", "decode_members", "encode_members", "quorum_size"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Return the encoded members, for a MEMBERSHIP entry."""
    return _ENCODER.encode(members)


def decode_members(data: bytes) -> tuple[Member, ...]:
    """Return the members in the data of a MEMBERSHIP entry."""
    return _DECODER.decode(data)


def quorum_size(n_voters: int) -> int:
    """Return the size of the smallest majority of `n_voters`."""
    return n_voters // 2 + 1


class Membership:
    """The members after each MEMBERSHIP entry of the log.

    The last entry is in effect as soon as it is in the log, committed or not.

    Parameters
    ----------
    index : int
        Log index from which `members` are in effect.
    members : tuple of Member
        The members at that index.
    """

    __slots__ = ("_by_id", "_history")

    def __init__(self, index: int, members: tuple[Member, ...]) -> None:
        self._history = [(index, members)]
        self._index_members()

    @property
    def index(self) -> int:
        """Return the index of the membership entry in effect."""
        return self._history[-1][0]

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in effect."""
        return self._history[-1][1]

    @property
    def voters(self) -> list[Member]:
        """Return the members in effect that vote."""
        return [member for member in self.members if member.voting]

    @property
    def quorum(self) -> int:
        """Return how many voters form a majority."""
        return quorum_size(len(self.voters))

    def get(self, replica_id: str) -> Member | None:
        """Return the member with a replica id, or None."""
        return self._by_id.get(replica_id)

    def find(self, replica_id: str, incarnation: str) -> Member | None:
        """Return the member with a replica id and incarnation, or None."""
        member = self._by_id.get(replica_id)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def is_voter(self, replica_id: str, incarnation: str) -> bool:
        """Return whether an incarnation is a voting member."""
        member = self.find(replica_id, incarnation)
        return member is not None and member.voting

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the members in effect at an index."""
        members = self._history[0][1]
        for since_index, later_members in self._history:
            if since_index <= index:
                members = later_members
        return members

    def add_entry(self, entry: LogEntry) -> None:
        """Add the members of an entry that was appended to the log, if it has any."""
        if entry.kind is EntryKind.MEMBERSHIP:
            self._history.append((entry.index, decode_members(entry.data)))
            self._index_members()

    def reset(self, index: int, members: tuple[Member, ...]) -> None:
        """Replace the history by the members that are in effect at an index."""
        self._history = [(index, members)]
        self._index_members()

    def truncate(self, index: int) -> None:
        """Discard the members set by entries from `index` on."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()
        self._index_members()

    def compact(self, index: int) -> None:
        """Discard the members that were replaced at or before `index`."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def _index_members(self) -> None:
        self._by_id = {member.replica_id: member for member in self.members}
