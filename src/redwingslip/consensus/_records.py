"""Records that a replica keeps in its data folder."""

import msgspec

from ._messages import LogEntry, Member

__all__ = ["HardState", "Identity", "LogStart", "Save", "Snapshot", "StoredState"]


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The identity of a replica.

    Attributes
    ----------
    replica_id : str
        Id of the replica from the settings.
    incarnation : str
        Random id, drawn when the data folder was created.
    founder : bool
        The folder was created to bootstrap the cluster.
    members : tuple of Member
        The initial members of the cluster, empty until they are known.
    """

    replica_id: str
    incarnation: str
    founder: bool = False
    members: tuple[Member, ...] = ()


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """The current term, and the replica id and incarnation voted for in it."""

    term: int = 0
    voted_for: tuple[str, str] | None = None


class LogStart(msgspec.Struct, frozen=True, kw_only=True):
    """Index and term of the entry before the first one that the log keeps."""

    index: int = 0
    term: int = 0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state machine's state after an entry, and the members at that index."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


class Save(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Changes that become durable in one step.

    Attributes
    ----------
    hard_state : HardState or None
        The new hard state, None if it is unchanged.
    truncate_from : int
        Remove the stored entries from this index on, 0 to remove none.
    entries : tuple of LogEntry
        Entries to append.
    log_start : LogStart or None
        If set, remove all stored entries first; `entries` start after this one.
    """

    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()
    log_start: LogStart | None = None


class StoredState(msgspec.Struct, frozen=True, kw_only=True):
    """The stored state that a replica starts from."""

    identity: Identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    log_start: LogStart = LogStart()
    entries: tuple[LogEntry, ...] = ()
