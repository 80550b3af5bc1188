"""Messages between the replicas, and the log entries that they carry."""

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
    """A member of the cluster.

    Attributes
    ----------
    replica_id : str
        Id of the replica from the settings.
    incarnation : str
        Changes when the replica's data folder is lost. Votes and acknowledgements of
        earlier incarnations do not count.
    address : str
        ``host:port`` of its process.
    voting : bool
        False for a learner, which receives the log but does not vote.
    """

    replica_id: str
    incarnation: str
    address: str
    voting: bool = True


class EntryKind(enum.IntEnum):
    """The kind of data in a log entry."""

    COMMAND = 0
    MEMBERSHIP = 1
    EMPTY = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log.

    The consensus layer interprets `data` only for entries of the kind MEMBERSHIP.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class _Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of the messages: the sender's term and incarnation."""

    term: int
    incarnation: str


class VoteRequest(_Message):
    """Request for a vote, or with `pre` for a pre-vote that changes no term.

    With `transfer` the leader requested the election, so that voters grant the vote
    despite recent leader contact.
    """

    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(_Message):
    """Reply to `VoteRequest`."""

    granted: bool
    pre: bool


class Append(_Message):
    """Entries for a follower, or a heartbeat when `entries` is empty.

    `round` numbers the leader's heartbeat rounds. A reply with a round proves contact
    with the follower after that heartbeat was sent.
    """

    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendReply(_Message):
    """Reply to `Append`.

    With `success`, `match_index` is on the follower's disk. Otherwise it is a hint: the
    leader should retry with the entries after it.
    """

    success: bool
    match_index: int
    round: int


class InstallSnapshot(_Message):
    """A chunk of a snapshot, for a follower that lacks compacted entries."""

    index: int
    snapshot_term: int
    offset: int
    data: bytes
    is_last: bool
    round: int


class SnapshotReply(_Message):
    """Reply to `InstallSnapshot`.

    `next_offset` is the offset of the next chunk in bytes; `done` says that the whole
    snapshot is on the follower's disk.
    """

    index: int
    next_offset: int
    done: bool
    round: int


class TimeoutNow(_Message):
    """Order of the leader to its transfer target to start an election immediately."""


class JoinRequest(_Message):
    """Request of a replica without leader contact to join or rejoin the cluster.

    Attributes
    ----------
    address : str
        ``host:port`` of its process.
    challenge : int
        The number from the leader's `JoinReply`, 0 in the first request. It proves that
        the request is recent, so that a delayed one can't restore a replaced
        incarnation.
    founder : bool
        The replica is to bootstrap the cluster. It requests the members, in case the
        cluster exists already.
    """

    address: str
    challenge: int = 0
    founder: bool = False


class JoinReply(_Message):
    """Reply to `JoinRequest`.

    Attributes
    ----------
    challenge : int
        The number that a second request must repeat, 0 for none.
    members : tuple of Member
        The members known to the sender, empty before the bootstrap.
    founder : bool
        The sender is to bootstrap the cluster too and has not started yet.
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
