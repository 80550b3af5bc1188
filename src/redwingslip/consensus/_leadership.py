"""The leader's work in its term: replication, commits and member changes."""

from datetime import timedelta

import msgspec

from ._changes import MemberChanges
from ._core import Core
from ._membership import encode_members
from ._messages import (
    Append,
    AppendReply,
    EntryKind,
    InstallSnapshot,
    JoinRequest,
    LogEntry,
    SnapshotReply,
    TimeoutNow,
)
from ._progress import HeartbeatRounds, Progress

__all__ = ["Leadership"]

_ENCODER = msgspec.msgpack.Encoder()


class Leadership:
    """The state of a leader, created at its election and dropped when it steps down.

    Parameters
    ----------
    core : Core
        The replica's shared state.
    now : timedelta
        The monotonic time of the election.

    Attributes
    ----------
    first_index : int
        Index of the first entry of the leader's term.
    """

    __slots__ = (
        "_changes",
        "_core",
        "_elected_at",
        "_last_tick_at",
        "_next_round_at",
        "_progress",
        "_rounds",
        "_snapshot_bytes",
        "_snapshot_index",
        "_transfer_deadline",
        "_transfer_target_id",
        "first_index",
    )

    def __init__(self, core: Core, now: timedelta) -> None:
        self._core = core
        self._elected_at = now
        self._last_tick_at = now
        self._next_round_at = now
        self._rounds = HeartbeatRounds(core.cfg.election_timeout_max)
        self._progress: dict[str, Progress] = {}
        self._changes = MemberChanges(core, now)
        self._transfer_target_id = ""
        self._transfer_deadline: timedelta | None = None
        self._snapshot_index = 0
        self._snapshot_bytes = b""
        self.first_index = core.log.last_index + 1
        self._update_progress()
        self.append(EntryKind.EMPTY, b"")

    @property
    def is_transferring(self) -> bool:
        """Return whether a leadership transfer is in progress.

        A leader accepts no proposals during a transfer.
        """
        return self._transfer_deadline is not None

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term and return its index."""
        core = self._core
        index = core.log.last_index + 1
        core.append(LogEntry(index, core.term, kind, data))
        if kind is EntryKind.MEMBERSHIP:
            self._update_progress()
        return index

    def tick(self, now: timedelta) -> bool:
        """Send due heartbeats and member changes; return False to step down.

        The leader steps down when it has had no contact with a quorum for the maximum
        election timeout, or when a leadership transfer has not finished in time.
        """
        self._last_tick_at = now
        if not self._has_quorum_contact(now):
            return False
        if self.is_transferring and now >= self._transfer_deadline:
            return False
        if now >= self._next_round_at:
            self._next_round_at = now + self._core.cfg.heartbeat_interval
            self._rounds.begin(now)
            for replica_id, progress in self._progress.items():
                self._send_heartbeat(replica_id, progress)
        self._propose_member_change()
        return True

    def lease_remaining(self, now: timedelta) -> timedelta:
        """Return for how much longer contact with a quorum rules out another leader.

        It is zero when there is no such contact, or when leadership is transferred.
        """
        if self.is_transferring:
            return timedelta(0)
        contact_at = self._quorum_contact_at(now)
        if contact_at is None:
            return timedelta(0)
        return max(timedelta(0), contact_at + self._core.cfg.lease_duration - now)

    def replicate(self) -> None:
        """Send every member the entries that it has not been sent yet."""
        for replica_id, progress in self._progress.items():
            self._send_entries(replica_id, progress)

    def receive_append_reply(self, sender_id: str, msg: AppendReply) -> None:
        """Handle a member's reply to an `Append`."""
        progress = self._progress.get(sender_id)
        if progress is None:
            return
        progress.note_contact(self._rounds.sent_at(msg.round))
        if msg.success:
            progress.note_match(msg.match_index)
            self.advance_commit()
            self._propose_member_change()
        elif not progress.snapshot_index:
            # Several messages may be in flight when the first mismatch is reported, and
            # each of them is rejected. Restarting once is enough, so later rejections
            # from these rounds count only if their hint is further back.
            is_stale = msg.round < progress.mismatch_round
            if is_stale and msg.match_index >= progress.window_start:
                return
            progress.mismatch_round = self._rounds.number + 1
            progress.note_mismatch(msg.match_index)
        self._send_entries(sender_id, progress)
        self._finish_transfer(sender_id, progress)

    def receive_snapshot_reply(self, sender_id: str, msg: SnapshotReply) -> None:
        """Handle a member's reply to an `InstallSnapshot`."""
        progress = self._progress.get(sender_id)
        if progress is None:
            return
        progress.note_contact(self._rounds.sent_at(msg.round))
        if msg.index != progress.snapshot_index:
            return
        if msg.done:
            progress.end_snapshot()
            if not any(p.snapshot_index for p in self._progress.values()):
                self._snapshot_index, self._snapshot_bytes = 0, b""
            self._send_entries(sender_id, progress)
        elif msg.next_offset != progress.snapshot_offset:
            progress.snapshot_offset = msg.next_offset
            self._send_chunk(sender_id, progress)

    def receive_join(self, sender_id: str, msg: JoinRequest) -> None:
        """Handle a join request; a correct challenge adds the incarnation."""
        if self._changes.receive_join(sender_id, msg):
            self._propose_member_change()

    def transfer(self, now: timedelta, target_id: str = "") -> bool:
        """Start a transfer of the leadership to a voter.

        The lease ends permanently here, since the target's vote requests may arrive at
        any later time.

        Parameters
        ----------
        now : timedelta
            The monotonic time.
        target_id : str
            The voter that takes over; empty to choose the most advanced one.

        Returns
        -------
        bool
            False if no suitable voter exists.
        """
        target_id = target_id or self._best_successor(now)
        if target_id not in self._progress or not self._is_voter(target_id):
            return False
        self._transfer_target_id = target_id
        self._transfer_deadline = now + self._core.cfg.election_timeout_max
        progress = self._progress[target_id]
        self._send_entries(target_id, progress)
        self._finish_transfer(target_id, progress)
        return True

    def advance_commit(self) -> None:
        """Advance the commit index to the last entry that a quorum has on disk.

        Entries of earlier terms are committed only together with a later entry of this
        term, as Raft requires.
        """
        core = self._core
        match_indexes = []
        for member in core.membership.voters:
            if member.replica_id == core.replica_id:
                match_indexes.append(core.log.stable_index)
            else:
                match_indexes.append(self._progress[member.replica_id].match_index)
        match_indexes.sort(reverse=True)
        index = match_indexes[core.membership.quorum - 1]
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_index = index
            self._propose_member_change()

    def is_repaired(self, replica_id: str, incarnation: str) -> bool:
        """Return whether a replica votes and has the log up to the last member change.

        That change made the replica a voter, or came later. The result is False while
        a member change or the first entry of the term is uncommitted.
        """
        core = self._core
        has_uncommitted_change = core.membership.index > core.commit_index
        if has_uncommitted_change or core.commit_index < self.first_index:
            return False
        if not core.membership.is_voter(replica_id, incarnation):
            return False
        if replica_id == core.replica_id:
            return True
        return self._progress[replica_id].match_index >= core.membership.index

    def _update_progress(self) -> None:
        """Keep one `Progress` per other member, and a new one for a new incarnation."""
        core = self._core
        old_progress = self._progress
        self._progress = {}
        for member in core.membership.members:
            if member.replica_id == core.replica_id:
                continue
            progress = old_progress.get(member.replica_id)
            if progress is None or progress.incarnation != member.incarnation:
                progress = Progress(member.incarnation, core.log.last_index + 1)
            self._progress[member.replica_id] = progress

    def _is_voter(self, replica_id: str) -> bool:
        member = self._core.membership.get(replica_id)
        return member is not None and member.voting

    def _quorum_contact_at(self, now: timedelta) -> timedelta | None:
        """Return the latest time at which contact with a quorum is certain.

        It is None when fewer members than a quorum have replied so far. A reply proves
        contact at the time when its heartbeat was sent.
        """
        core = self._core
        contact_times = []
        for member in core.membership.voters:
            if member.replica_id == core.replica_id:
                contact_times.append(now)
            elif (
                contact_at := self._progress[member.replica_id].contact_at
            ) is not None:
                contact_times.append(contact_at)
        if len(contact_times) < core.membership.quorum:
            return None
        contact_times.sort(reverse=True)
        return contact_times[core.membership.quorum - 1]

    def _has_quorum_contact(self, now: timedelta) -> bool:
        contact_at = self._quorum_contact_at(now)
        if contact_at is None:
            contact_at = self._elected_at
        latest_contact_at = max(contact_at, self._elected_at)
        return now < latest_contact_at + self._core.cfg.election_timeout_max

    def _best_successor(self, now: timedelta) -> str:
        """Return the responsive voter with the longest log, or an empty id."""
        oldest_contact_at = now - self._core.cfg.election_timeout_min
        best_id = ""
        for replica_id, progress in self._progress.items():
            if not self._is_voter(replica_id) or progress.contact_at is None:
                continue
            if progress.contact_at < oldest_contact_at:
                continue
            if (
                not best_id
                or progress.match_index > self._progress[best_id].match_index
            ):
                best_id = replica_id
        return best_id

    def _finish_transfer(self, replica_id: str, progress: Progress) -> None:
        """Have the transfer target start an election once it holds the whole log."""
        core = self._core
        if replica_id != self._transfer_target_id:
            return
        if progress.match_index == core.log.last_index:
            message = TimeoutNow(term=core.term, incarnation=core.incarnation)
            core.send(replica_id, message)

    def _propose_member_change(self) -> None:
        """Append the next member change, if the leader may make one.

        Changes wait until the previous one and the first entry of the term are
        committed, and stop during a leadership transfer.
        """
        core = self._core
        has_uncommitted_change = core.membership.index > core.commit_index
        if (
            has_uncommitted_change
            or core.commit_index < self.first_index
            or self.is_transferring
        ):
            return
        members = self._changes.next_members(self._progress, self._last_tick_at)
        if members is not None:
            self.append(EntryKind.MEMBERSHIP, encode_members(members))
            self.replicate()

    def _send_heartbeat(self, replica_id: str, progress: Progress) -> None:
        if progress.snapshot_index:
            self._send_chunk(replica_id, progress)
        elif progress.next_index <= self._core.log.start.index:
            self._start_snapshot(replica_id, progress)
        else:
            self._send_append(replica_id, progress, ())

    def _send_entries(self, replica_id: str, progress: Progress) -> None:
        """Send the next entries, unless earlier ones await their acknowledgement.

        A member saves what it receives one message after the other, so that a second
        message would not be saved earlier. The entries that come meanwhile share one.
        """
        cfg = self._core.cfg
        log = self._core.log
        if progress.snapshot_index or progress.is_awaiting_ack:
            return
        if progress.next_index <= log.start.index:
            self._start_snapshot(replica_id, progress)
            return
        window_end = progress.window_start + cfg.max_inflight_entries
        last = min(log.last_index, window_end)
        if progress.next_index <= last:
            entries = self._next_batch(progress.next_index, last)
            self._send_append(replica_id, progress, entries)
            progress.note_sent(len(entries))

    def _next_batch(self, first: int, last: int) -> tuple[LogEntry, ...]:
        cfg = self._core.cfg
        max_entries = cfg.max_batch_entries if cfg.batching else 1
        entries = self._core.log.entries_between(
            first, min(last, first + max_entries - 1)
        )
        n_bytes = 0
        for position, entry in enumerate(entries):
            n_bytes += len(entry.data)
            if n_bytes > cfg.max_batch_bytes and position:
                return tuple(entries[:position])
        return tuple(entries)

    def _send_append(
        self, replica_id: str, progress: Progress, entries: tuple[LogEntry, ...]
    ) -> None:
        core = self._core
        prev_index = progress.next_index - 1
        message = Append(
            term=core.term,
            incarnation=core.incarnation,
            prev_index=prev_index,
            prev_term=core.log.term_at(prev_index),
            entries=entries,
            commit_index=core.commit_index,
            round=self._rounds.number,
        )
        core.send(replica_id, message)

    def _start_snapshot(self, replica_id: str, progress: Progress) -> None:
        progress.start_snapshot(self._core.snapshot.index)
        self._send_chunk(replica_id, progress)

    def _send_chunk(self, replica_id: str, progress: Progress) -> None:
        core = self._core
        snapshot = core.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.start_snapshot(snapshot.index)
        if self._snapshot_index != snapshot.index:
            self._snapshot_index = snapshot.index
            self._snapshot_bytes = _ENCODER.encode(snapshot)
        begin = progress.snapshot_offset
        end = begin + core.cfg.snapshot_chunk_bytes
        message = InstallSnapshot(
            term=core.term,
            incarnation=core.incarnation,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            offset=begin,
            data=self._snapshot_bytes[begin:end],
            is_last=end >= len(self._snapshot_bytes),
            round=self._rounds.number,
        )
        core.send(replica_id, message)
