"""What a replica keeps on its disk."""

import msgspec

from ._messages import LogEntry, Member

__all__ = ["HardState", "Identity", "LogStart", "Save", "Snapshot", "StoredState"]


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Who the replica is.

    Attributes
    ----------
    replica_id : str
        Name from the settings.
    incarnation : str
        Drawn when the data folder was made.
    founder : bool
        The folder was made to found the log.
    members : tuple of Member
        The members that founded the log, empty until they are agreed.
    """

    replica_id: str
    incarnation: str
    founder: bool = False
    members: tuple[Member, ...] = ()


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """The term, and who got this replica's vote in it: replica id and incarnation."""

    term: int = 0
    voted_for: tuple[str, str] | None = None


class LogStart(msgspec.Struct, frozen=True, kw_only=True):
    """The entry before the first one that is kept."""

    index: int = 0
    term: int = 0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state machine's state after an entry, and the members then."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


class Save(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What must become durable in one step.

    Attributes
    ----------
    hard_state : HardState or None
        The new hard state.
    truncate_from : int
        Drop the stored entries from this index on, 0 for none.
    entries : tuple of LogEntry
        Entries to add.
    log_start : LogStart or None
        Drop all stored entries first, those to add start after it.
    """

    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()
    log_start: LogStart | None = None


class StoredState(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a replica starts from."""

    identity: Identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    log_start: LogStart = LogStart()
    entries: tuple[LogEntry, ...] = ()
