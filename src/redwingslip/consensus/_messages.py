"""The messages between the members of the replicated log."""

import enum

import msgspec

__all__ = [
    "Append",
    "AppendReply",
    "ConsensusMessage",
    "EntryKind",
    "InstallSnapshot",
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
    """Base: `term`, the sender's incarnation and the receiver's as it knows it."""

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


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
)
