"""How a follower copies log entries and snapshots from its leader."""

import msgspec

from ._core import Core
from ._messages import Append, AppendReply, InstallSnapshot, LogEntry, SnapshotReply
from ._records import LogStart, Snapshot

__all__ = ["SnapshotReceiver", "accept_append", "install_snapshot"]

_DECODER = msgspec.msgpack.Decoder(Snapshot)


def accept_append(core: Core, leader_id: str, msg: Append) -> None:
    """Append the entries of an `Append` of the current term and reply to it."""
    known_term = core.log.term_at(msg.prev_index)
    is_compacted = msg.prev_index < core.log.start.index
    if not is_compacted and known_term != msg.prev_term:
        _reject_append(core, leader_id, msg)
        return
    for entry in msg.entries:
        _accept_entry(core, entry)
    match_index = msg.prev_index + len(msg.entries)
    core.commit_index = max(core.commit_index, min(msg.commit_index, match_index))
    # A heartbeat is answered immediately with the index that is on disk so far, so that
    # a slow disk here does not make the leader lose its quorum contact.
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
    """Append an entry unless the log has it, replacing a conflicting entry."""
    if entry.index <= core.log.start.index:
        return
    if core.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= core.log.last_index:
        core.truncate(entry.index)
    core.append(entry)


def _reject_append(core: Core, leader_id: str, msg: Append) -> None:
    """Reply with the index after which the leader should retry.

    The hint skips all uncommitted entries of the conflicting term.
    """
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
    """Replace the log by a complete snapshot and reply.

    Returns
    -------
    bool
        False if the log already holds the snapshot's last entry and was kept.
    """
    has_entry = core.log.term_at(snapshot.index) == snapshot.term
    if not has_entry:
        core.log.reset(LogStart(index=snapshot.index, term=snapshot.term))
        core.membership.reset(snapshot.index, snapshot.members)
        core.snapshot = snapshot
    core.commit_index = snapshot.index
    send_snapshot_reply(core, leader_id, msg, len(msg.data), done=True)
    return not has_entry


def send_snapshot_reply(
    core: Core, leader_id: str, msg: InstallSnapshot, next_offset: int, *, done: bool
) -> None:
    """Reply to a snapshot chunk.

    Parameters
    ----------
    core : Core
        The replica's shared state.
    leader_id : str
        The receiver.
    msg : InstallSnapshot
        The chunk.
    next_offset : int
        Offset of the next chunk that is needed, in bytes.
    done : bool
        The snapshot is complete. The reply then waits until it is on disk.
    """
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
    """Assembles a snapshot from its chunks."""

    __slots__ = ("_buffer", "_transfer_key")

    def __init__(self) -> None:
        self._transfer_key: tuple[str, int, int] | None = None
        self._buffer = bytearray()

    def receive(
        self, core: Core, leader_id: str, msg: InstallSnapshot
    ) -> Snapshot | None:
        """Handle a chunk; return the snapshot once it is complete.

        While chunks are missing, or if the snapshot is already covered by the commit
        index, the chunk is answered here and None is returned.
        """
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
        """Discard the chunks received so far."""
        self._transfer_key = None
        self._buffer = bytearray()
