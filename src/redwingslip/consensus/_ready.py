"""What a node hands to its owner: saves, messages and committed entries."""

from datetime import timedelta

import msgspec

from ._core import Core, Envelope
from ._messages import LogEntry
from ._records import Save, Snapshot

__all__ = ["Outputs", "Ready"]


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner of a node is to do.

    Attributes
    ----------
    messages : tuple of Envelope
        To be sent now.
    committed : tuple of LogEntry
        To be applied, in this order.
    save : Save or None
        To be made durable; then `RaftNode.mark_saved` is to be called.
    snapshot : Snapshot or None
        To be made durable before `save`.
    is_installed : bool
        The snapshot came from the leader: after the save, and before the next
        `Ready`, the state machine is to be restored from it.
    """

    messages: tuple[Envelope, ...] = ()
    committed: tuple[LogEntry, ...] = ()
    save: Save | None = None
    snapshot: Snapshot | None = None
    is_installed: bool = False


class Outputs:
    """Keeps count of what was handed out, one save at a time.

    Parameters
    ----------
    core : Core
        The replica.
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
        """Return whether the disk is at a save for too long."""
        if self._saving_since is None:
            return False
        return now >= self._saving_since + self._core.cfg.disk_timeout

    def add_snapshot(self, snapshot: Snapshot, *, is_installed: bool) -> None:
        """Have a snapshot saved, and the log rewritten to start near it."""
        self._snapshot = snapshot
        if is_installed:
            self._is_installing = True
            self._delivered_index = snapshot.index

    def take_ready(self, now: timedelta, *, is_leader: bool) -> Ready:
        """Return what is to be done.

        A leader applies what a quorum has on disk, though its own disk may be slow.
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
        """Note that the save that was taken last is durable."""
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
