"""The messages between the members of the replicated log."""

import enum

import msgspec

__all__ = [
    "Append",
    "AppendReply",
    "ConsensusMessage",
    "EntryKind",
    "InstallSnapshot",
    "JoinReply",
    "JoinRequest",
    "LogEntry",
    "Member",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


class Member(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A member of the log.

    Attributes
    ----------
    replica_id : str
        Name from the settings.
    incarnation : str
        Changes when the member's disk was lost; the old one's votes are void.
    address : str
        ``host:port`` of its process.
    voting : bool
        False for a learner.
    """

    replica_id: str
    incarnation: str
    address: str
    voting: bool = True


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    COMMAND = 0
    MEMBERSHIP = 1
    EMPTY = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log; `data` is opaque to the consensus unless MEMBERSHIP."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class _Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base: the sender's term and incarnation."""

    term: int
    incarnation: str


class VoteRequest(_Message):
    """Ask for a vote, or with `pre` whether it would be given."""

    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(_Message):
    """Answer to `VoteRequest`."""

    granted: bool
    pre: bool


class Append(_Message):
    """Replicate entries, or with none of them a heartbeat.

    `round` numbers the leader's heartbeats, so that a reply proves contact since
    that heartbeat was sent.
    """

    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendReply(_Message):
    """Answer to `Append`: what is synced, or from where to try again."""

    success: bool
    match_index: int
    round: int


class InstallSnapshot(_Message):
    """A part of a snapshot for a follower that is behind the log's start."""

    index: int
    snapshot_term: int
    offset: int
    data: bytes
    is_last: bool
    round: int


class SnapshotReply(_Message):
    """The next offset that the follower wants; `done` once it is synced."""

    index: int
    next_offset: int
    done: bool
    round: int


class TimeoutNow(_Message):
    """The leader hands over: stand for election at once."""


class JoinRequest(_Message):
    """A replica that no leader talks to announces itself to its peers.

    Attributes
    ----------
    address : str
        ``host:port`` of its process.
    challenge : int
        The number from the leader's `JoinReply`, 0 at first. It proves that the
        request is new, so that a late one can't bring back a replaced incarnation.
    founder : bool
        The replica was told to found the log and asks whether it exists.
    """

    address: str
    challenge: int = 0
    founder: bool = False


class JoinReply(_Message):
    """Answer to `JoinRequest`.

    Attributes
    ----------
    challenge : int
        To be repeated in a second request; 0 when there is nothing to repeat.
    members : tuple of Member
        The members as the sender knows them, empty before the founding.
    founder : bool
        The sender was told to found the log too, and has not begun.
    """

    challenge: int = 0
    members: tuple[Member, ...] = ()
    founder: bool = False


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
    | JoinRequest
    | JoinReply
)
