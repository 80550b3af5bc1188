"""How a follower takes over its leader's log."""

import msgspec

from ._core import Core
from ._messages import Append, AppendReply, InstallSnapshot, LogEntry, SnapshotReply
from ._records import LogStart, Snapshot

__all__ = ["SnapshotReceiver", "accept_append", "install_snapshot"]

_DECODER = msgspec.msgpack.Decoder(Snapshot)


def accept_append(core: Core, leader_id: str, msg: Append) -> None:
    """Take the entries of an `Append` of the current term and answer it."""
    known_term = core.log.term_at(msg.prev_index)
    is_compacted = msg.prev_index < core.log.start.index
    if not is_compacted and known_term != msg.prev_term:
        _reject_append(core, leader_id, msg)
        return
    for entry in msg.entries:
        _accept_entry(core, entry)
    match_index = msg.prev_index + len(msg.entries)
    core.commit_index = max(core.commit_index, min(msg.commit_index, match_index))
    # A heartbeat is answered at once with what is on disk so far, so that a slow
    # disk does not cost the leader its contact.
    if not msg.entries:
        match_index = min(match_index, core.log.stable_index)
    reply = AppendReply(
        term=core.term,
        incarnation=core.incarnation,
        success=True,
        match_index=match_index,
        round=msg.round,
    )
    core.send_after_sync(leader_id, reply, match_index)


def _accept_entry(core: Core, entry: LogEntry) -> None:
    """Add an entry unless it is there, in place of any that differs."""
    if entry.index <= core.log.start.index:
        return
    if core.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= core.log.last_index:
        core.truncate(entry.index)
    core.append(entry)


def _reject_append(core: Core, leader_id: str, msg: Append) -> None:
    """Tell the leader from where to try again."""
    hint = min(msg.prev_index - 1, core.log.last_index)
    conflicting_term = core.log.term_at(msg.prev_index)
    if conflicting_term is not None:
        while hint > core.commit_index and core.log.term_at(hint) == conflicting_term:
            hint -= 1
    reply = AppendReply(
        term=core.term,
        incarnation=core.incarnation,
        success=False,
        match_index=hint,
        round=msg.round,
    )
    core.send_after_sync(leader_id, reply)


def install_snapshot(
    core: Core, leader_id: str, msg: InstallSnapshot, snapshot: Snapshot
) -> bool:
    """Take over a whole snapshot and answer; return False if the log holds it all."""
    has_entry = core.log.term_at(snapshot.index) == snapshot.term
    if not has_entry:
        core.log.reset(LogStart(index=snapshot.index, term=snapshot.term))
        core.members.reset(snapshot.index, snapshot.members)
        core.snapshot = snapshot
    core.commit_index = snapshot.index
    send_snapshot_reply(core, leader_id, msg, len(msg.data), done=True)
    return not has_entry


def send_snapshot_reply(
    core: Core, leader_id: str, msg: InstallSnapshot, next_offset: int, *, done: bool
) -> None:
    """Answer a part of a snapshot; `done` waits until the log is on disk up to it."""
    reply = SnapshotReply(
        term=core.term,
        incarnation=core.incarnation,
        index=msg.index,
        next_offset=next_offset,
        done=done,
        round=msg.round,
    )
    core.send_after_sync(leader_id, reply, msg.index if done else 0)


class SnapshotReceiver:
    """Puts the parts of a snapshot together."""

    __slots__ = ("_buffer", "_transfer_key")

    def __init__(self) -> None:
        self._transfer_key: tuple[str, int, int] | None = None
        self._buffer = bytearray()

    def receive(
        self, core: Core, leader_id: str, msg: InstallSnapshot
    ) -> Snapshot | None:
        """Take a part; return the snapshot once it is whole and new, else answer."""
        if msg.index <= core.commit_index:
            self.clear()
            send_snapshot_reply(core, leader_id, msg, 0, done=True)
            return None
        key = (leader_id, msg.term, msg.index)
        if key != self._transfer_key:
            self._transfer_key = key
            self._buffer.clear()
        if msg.offset == len(self._buffer):
            self._buffer += msg.data
            if msg.is_last:
                snapshot = _DECODER.decode(self._buffer)
                self.clear()
                return snapshot
        send_snapshot_reply(core, leader_id, msg, len(self._buffer), done=False)
        return None

    def clear(self) -> None:
        """Drop what has come so far."""
        self._transfer_key = None
        self._buffer = bytearray()
