"""The outputs of a node: saves, messages and committed entries."""

from datetime import timedelta

import msgspec

from ._core import Core, Envelope
from ._messages import LogEntry
from ._records import Save, Snapshot

__all__ = ["Outputs", "Ready"]


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """Work that the owner of a node must do.

    Attributes
    ----------
    messages : tuple of Envelope
        Messages to send immediately.
    committed : tuple of LogEntry
        Entries to apply to the state machine, in this order.
    save : Save or None
        Changes to make durable before `RaftNode.mark_saved` is called.
    snapshot : Snapshot or None
        Snapshot to make durable before `save`.
    is_installed : bool
        The snapshot came from the leader. The state machine must be restored from it
        after the save and before the next `Ready`.
    """

    messages: tuple[Envelope, ...] = ()
    committed: tuple[LogEntry, ...] = ()
    save: Save | None = None
    snapshot: Snapshot | None = None
    is_installed: bool = False


class Outputs:
    """Tracks which outputs the owner has taken, with one save at a time.

    Parameters
    ----------
    core : Core
        The replica's shared state.
    """

    __slots__ = (
        "_core",
        "_delivered_index",
        "_is_installing",
        "_saving_since",
        "_snapshot",
    )

    def __init__(self, core: Core) -> None:
        self._core = core
        self._delivered_index = core.commit_index
        self._snapshot: Snapshot | None = None
        self._is_installing = False
        self._saving_since: timedelta | None = None

    def is_disk_stalled(self, now: timedelta) -> bool:
        """Return whether a save has been in progress for `disk_timeout`."""
        if self._saving_since is None:
            return False
        return now >= self._saving_since + self._core.cfg.disk_timeout

    def add_snapshot(self, snapshot: Snapshot, *, is_installed: bool) -> None:
        """Schedule a snapshot for the next save, which also rewrites the stored log.

        Parameters
        ----------
        snapshot : Snapshot
            The snapshot.
        is_installed : bool
            The snapshot came from the leader.
        """
        self._snapshot = snapshot
        if is_installed:
            self._is_installing = True
            self._delivered_index = snapshot.index

    def take_ready(self, now: timedelta, *, is_leader: bool) -> Ready:
        """Return the outputs that the owner has not taken yet.

        A leader applies all committed entries, even those that its own disk does not
        hold yet, since a quorum has them. Other replicas apply entries only once they
        are on their own disk.
        """
        committed = self._take_committed(is_leader=is_leader)
        messages = self._core.take_messages()
        if self._saving_since is not None:
            return Ready(messages=messages, committed=committed)
        snapshot = self._snapshot
        self._snapshot = None
        save = self._take_save() if snapshot is None else self._take_full_save()
        if save is not None:
            self._saving_since = now
        return Ready(
            messages=messages,
            committed=committed,
            save=save,
            snapshot=snapshot,
            is_installed=snapshot is not None and self._is_installing,
        )

    def mark_saved(self) -> None:
        """Record that the save in progress is durable."""
        self._saving_since = None
        if self._snapshot is None:
            self._is_installing = False
        self._core.mark_saved()

    def _take_committed(self, *, is_leader: bool) -> tuple[LogEntry, ...]:
        if self._is_installing:
            return ()
        core = self._core
        last_index = core.commit_index
        if not is_leader:
            last_index = min(last_index, core.log.stable_index)
        entries = core.log.entries_between(self._delivered_index + 1, last_index)
        self._delivered_index = max(self._delivered_index, last_index)
        return tuple(entries)

    def _take_save(self) -> Save | None:
        core = self._core
        if not (core.log.has_unsaved or core.is_hard_state_dirty):
            return None
        max_entries = None if core.cfg.batching else 1
        truncate_from, entries = core.log.take_unsaved(max_entries)
        return Save(
            hard_state=core.take_hard_state(always=False),
            truncate_from=truncate_from,
            entries=tuple(entries),
        )

    def _take_full_save(self) -> Save:
        core = self._core
        return Save(
            hard_state=core.take_hard_state(always=True),
            entries=tuple(core.log.take_all()),
            log_start=core.log.start,
        )
