"""The members, as the log says."""

import msgspec

from ._messages import EntryKind, LogEntry, Member

__all__ = ["Membership", "decode_members", "encode_members", "quorum_size"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Return the data of a MEMBERSHIP entry."""
    return _ENCODER.encode(members)


def decode_members(data: bytes) -> tuple[Member, ...]:
    """Return what `encode_members` was given."""
    return _DECODER.decode(data)


def quorum_size(n_voters: int) -> int:
    """Return the smallest majority."""
    return n_voters // 2 + 1


class Membership:
    """The members after each MEMBERSHIP entry, of which the last one is in effect.

    An entry is in effect as soon as it is in the log, committed or not.

    Parameters
    ----------
    index : int
        Log index from which `members` are known to hold.
    members : tuple of Member
        The members then.
    """

    __slots__ = ("_by_id", "_history")

    def __init__(self, index: int, members: tuple[Member, ...]) -> None:
        self._history = [(index, members)]
        self._index_members()

    @property
    def index(self) -> int:
        """Return the index of the entry in effect."""
        return self._history[-1][0]

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in effect."""
        return self._history[-1][1]

    @property
    def voters(self) -> list[Member]:
        """Return the voting ones."""
        return [member for member in self.members if member.voting]

    @property
    def quorum(self) -> int:
        """Return how many voters decide."""
        return quorum_size(len(self.voters))

    def get(self, replica_id: str) -> Member | None:
        """Return a member by the name of its replica."""
        return self._by_id.get(replica_id)

    def find(self, replica_id: str, incarnation: str) -> Member | None:
        """Return a member unless it is another incarnation."""
        member = self._by_id.get(replica_id)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def is_voter(self, replica_id: str, incarnation: str) -> bool:
        """Return whether this incarnation votes."""
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
        """Take an entry that was added to the log."""
        if entry.kind is EntryKind.MEMBERSHIP:
            self._history.append((entry.index, decode_members(entry.data)))
            self._index_members()

    def reset(self, index: int, members: tuple[Member, ...]) -> None:
        """Start again from members that are known to hold at an index."""
        self._history = [(index, members)]
        self._index_members()

    def truncate(self, index: int) -> None:
        """Forget the entries from `index` on."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()
        self._index_members()

    def compact(self, index: int) -> None:
        """Forget what was replaced at or before `index`."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def _index_members(self) -> None:
        self._by_id = {member.replica_id: member for member in self.members}
