"""A replica as a state machine: messages, times and disk reports in, a `Ready` out."""

import random
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ._core import Core, Envelope
from ._follower import SnapshotReceiver, accept_append, install
from ._leadership import Leadership
from ._messages import (
    Append,
    AppendReply,
    ConsensusMessage,
    EntryKind,
    InstallSnapshot,
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from ._records import Save, Snapshot, StoredState
from ._role import CANDIDATE, FOLLOWER, PRE_CANDIDATE, Role
from ._settings import ConsensusSettings
from .exceptions import ConsensusError, NotLeaderError

__all__ = ["RaftNode", "Ready"]


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


class RaftNode:
    """One replica of the log, without sockets, tasks, disk or clock.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    stored : StoredState
        What the data folder held.
    address : str
        Own ``host:port``.
    peers : frozenset of str
        Replica ids of the others in the settings.
    rng : random.Random
        Source of the election timeouts.
    now : timedelta
        The monotonic time. It must be the same clock in every call.
    """

    __slots__ = (
        "_core",
        "_election_at",
        "_handed_index",
        "_heard_at",
        "_is_installing",
        "_is_saving",
        "_join_at",
        "_leadership",
        "_receiver",
        "_role",
        "_sticky_until",
        "_unsaved_snapshot",
        "_votes",
    )

    def __init__(
        self,
        *,
        cfg: ConsensusSettings,
        stored: StoredState,
        address: str,
        peers: frozenset[str],
        rng: random.Random,
        now: timedelta,
    ) -> None:
        self._core = Core(cfg=cfg, stored=stored, address=address, peers=peers, rng=rng)
        self._role = Role()
        self._leadership: Leadership | None = None
        self._votes: set[str] = set()
        self._receiver = SnapshotReceiver()
        self._handed_index = self._core.commit_index
        self._unsaved_snapshot: Snapshot | None = None
        self._is_installing = False
        self._is_saving = False
        # It may have heard a leader just before it was restarted, and that leader
        # may count on it.
        self._sticky_until = now + cfg.election_timeout_min
        self._election_at = now + self._core.random_timeout()
        # A newcomer announces itself at once, a member gives the leader time.
        is_member = self._core.members.find(self.replica_id, self.incarnation)
        self._join_at = now + cfg.election_timeout_max if is_member else now

    @property
    def replica_id(self) -> str:
        """Return the replica's name."""
        return self._core.replica_id

    @property
    def incarnation(self) -> str:
        """Return the incarnation of its disk."""
        return self._core.incarnation

    @property
    def role(self) -> str:
        """Return the name of the role."""
        return self._role.state

    @property
    def is_leader(self) -> bool:
        """Return whether it leads, as far as it knows."""
        return self._leadership is not None

    @property
    def is_transferring(self) -> bool:
        """Return whether it leads and is handing over."""
        return self._leadership is not None and self._leadership.is_transferring

    @property
    def leader_id(self) -> str:
        """Return the leader of the current term, empty when unknown."""
        return self._core.leader_id

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Return the last index that is known to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._core.log.last_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in effect."""
        return self._core.members.members

    @property
    def is_voter(self) -> bool:
        """Return whether it is a voting member, by its own log."""
        return self._core.is_voter

    @property
    def first_index_of_term(self) -> int:
        """Return the leader's first entry; its state is current once that is applied.

        It is 0 on a replica that does not lead.
        """
        return self._leadership.first_index if self._leadership else 0

    def has_quorum_lease(self, now: timedelta) -> bool:
        """Return whether it leads and no other leader can exist."""
        return self._leadership is not None and self._leadership.has_quorum_lease(now)

    def is_repaired(self, replica_id: str, incarnation: str) -> bool:
        """Return, on the leader, whether a replica is a whole member (again).

        That is: this incarnation votes, and holds on its disk everything that
        was committed until it became a voter, so that losing another member's disk
        right after loses nothing.
        """
        leadership = self._leadership
        return leadership is not None and leadership.is_repaired(
            replica_id, incarnation
        )

    def tick(self, now: timedelta) -> None:
        """Do what is due. To be called several times in a heartbeat interval."""
        if self._leadership is not None:
            if not self._leadership.tick(now):
                self._follow(now)
            return
        if now >= self._election_at:
            self._reset_election(now)
            if self.is_voter:
                self._start_pre_vote(now)
        if now >= self._join_at:
            self._announce(now)

    def propose(self, data: bytes) -> LogEntry:
        """Add a command to the log and return its entry, which is not committed yet.

        Raises
        ------
        NotLeaderError
            If this replica does not lead or is handing over.
        """
        if self._leadership is None or self._leadership.is_transferring:
            raise NotLeaderError(self.leader_id)
        index = self._leadership.append(EntryKind.COMMAND, data)
        return self._core.log.entry_at(index)

    def transfer_leadership(self, now: timedelta, target_id: str = "") -> bool:
        """Begin to hand over; return False when there is nobody to hand over to."""
        if self._leadership is None:
            return False
        return self._leadership.transfer(now, target_id)

    def compact(self, index: int, data: bytes) -> None:
        """Take the state machine's snapshot after an applied entry."""
        core = self._core
        if core.snapshot is not None and index <= core.snapshot.index:
            return
        core.snapshot = Snapshot(
            index=index,
            term=core.log.term_at(index),
            members=core.members.at(index),
            data=data,
        )
        self._unsaved_snapshot = core.snapshot
        core.members.compact(index)
        start = max(core.log.start.index, index - core.cfg.n_trailing_entries)
        core.log.compact(start)

    def take_ready(self) -> Ready:
        """Return what is to be done. At most one save is out at a time."""
        if self._leadership is not None:
            self._leadership.replicate()
        committed = self._take_committed()
        messages = self._core.take_messages()
        if self._is_saving:
            return Ready(messages=messages, committed=committed)
        if self._unsaved_snapshot is not None:
            snapshot = self._unsaved_snapshot
            self._unsaved_snapshot = None
            return Ready(
                messages=messages,
                committed=committed,
                save=self._take_rewrite(),
                snapshot=snapshot,
                is_installed=self._is_installing,
            )
        return Ready(messages=messages, committed=committed, save=self._take_save())

    def mark_saved(self, now: timedelta) -> None:
        """Note that the save of the last `Ready` that had one is durable."""
        self._is_saving = False
        if self._unsaved_snapshot is None:
            self._is_installing = False
        self._core.mark_saved()
        if self._leadership is not None:
            self._leadership.advance_commit()

    def receive(
        self, sender_id: str, message: ConsensusMessage, now: timedelta
    ) -> None:
        """Take a message."""
        self._handle(message, sender_id, now)

    @singledispatchmethod
    def _handle(
        self, message: ConsensusMessage, sender_id: str, now: timedelta
    ) -> None:
        raise TypeError(f"not a consensus message: {message!r}")

    @_handle.register
    def _(self, message: VoteRequest, sender_id: str, now: timedelta) -> None:
        core = self._core
        is_refused = self._is_sticky(now) and not message.transfer
        if is_refused and not message.pre:
            return
        if message.term > core.term and not message.pre:
            self._enter_term(message.term, now)
        is_newer = message.term > core.term
        is_granted = (
            not is_refused
            and (is_newer or not message.pre)
            and core.is_log_current(message.last_index, message.last_term)
        )
        if not message.pre:
            candidate = (sender_id, message.incarnation)
            is_granted = (
                is_granted
                and message.term == core.term
                and core.voted_for in (None, candidate)
            )
            if is_granted:
                core.voted_for = candidate
                self._reset_election(now)
        reply = VoteReply(
            term=message.term if is_granted else core.term,
            incarnation=core.incarnation,
            granted=is_granted,
            pre=message.pre,
        )
        core.send_synced(sender_id, reply)

    @_handle.register
    def _(self, message: VoteReply, sender_id: str, now: timedelta) -> None:
        core = self._core
        if not core.members.is_voter(sender_id, message.incarnation):
            return
        if not message.granted:
            if message.term > core.term:
                self._enter_term(message.term, now)
            return
        role, term = CANDIDATE, core.term
        if message.pre:
            role, term = PRE_CANDIDATE, core.term + 1
        if self.role == role and message.term == term:
            self._count_vote(sender_id, now)

    @_handle.register
    def _(self, message: Append, sender_id: str, now: timedelta) -> None:
        core = self._core
        if message.term < core.term:
            reply = AppendReply(
                term=core.term,
                incarnation=core.incarnation,
                success=False,
                match_index=0,
                round=message.round,
            )
            core.send_synced(sender_id, reply)
            return
        self._hear_leader(sender_id, message.term, now)
        accept_append(core, sender_id, message)

    @_handle.register
    def _(self, message: AppendReply, sender_id: str, now: timedelta) -> None:
        if self._is_answer(message, sender_id, now):
            self._leadership.receive_append_reply(sender_id, message)

    @_handle.register
    def _(self, message: InstallSnapshot, sender_id: str, now: timedelta) -> None:
        core = self._core
        if message.term < core.term:
            return
        self._hear_leader(sender_id, message.term, now)
        snapshot = self._receiver.receive(core, sender_id, message)
        if snapshot is None:
            return
        if install(core, sender_id, message, snapshot):
            self._unsaved_snapshot = snapshot
            self._is_installing = True
            self._handed_index = snapshot.index

    @_handle.register
    def _(self, message: SnapshotReply, sender_id: str, now: timedelta) -> None:
        if self._is_answer(message, sender_id, now):
            self._leadership.receive_snapshot_reply(sender_id, message)

    @_handle.register
    def _(self, message: TimeoutNow, sender_id: str, now: timedelta) -> None:
        core = self._core
        is_from_leader = message.term == core.term and sender_id == core.leader_id
        if is_from_leader and self.is_voter:
            self._start_election(now, is_transfer=True)

    @_handle.register
    def _(self, message: JoinRequest, sender_id: str, now: timedelta) -> None:
        core = self._core
        if message.founder:
            reply = JoinReply(
                term=core.term,
                incarnation=core.incarnation,
                members=core.members.members,
            )
            core.send(sender_id, reply)
        elif self._leadership is not None:
            self._leadership.receive_join(sender_id, message)

    @_handle.register
    def _(self, message: JoinReply, sender_id: str, now: timedelta) -> None:
        if message.challenge:
            self._send_join_request(sender_id, message.challenge)

    def _is_sticky(self, now: timedelta) -> bool:
        """Return whether a leader may count on this replica not to vote."""
        if self._leadership is not None:
            return self._leadership.has_quorum_lease(now)
        return now < self._sticky_until

    def _is_answer(
        self, message: AppendReply | SnapshotReply, sender_id: str, now: timedelta
    ) -> bool:
        """Return whether a reply is to this leader, in its term, from a member."""
        core = self._core
        if core.members.find(sender_id, message.incarnation) is None:
            return False
        if message.term > core.term:
            self._enter_term(message.term, now)
        return self._leadership is not None and message.term == core.term

    def _hear_leader(self, leader_id: str, term: int, now: timedelta) -> None:
        """Follow the leader of a term that is not older than our own."""
        core = self._core
        if term > core.term:
            self._enter_term(term, now)
        elif self._leadership is not None:
            raise ConsensusError(f"{leader_id} leads in our term {term}")
        elif self.role != FOLLOWER:
            self._follow(now)
        core.leader_id = leader_id
        self._sticky_until = now + core.cfg.election_timeout_min
        # A leader that talks to the incarnation before this one is no reason not to
        # announce this one.
        if core.members.find(core.replica_id, core.incarnation) is not None:
            self._join_at = now + core.cfg.election_timeout_max
        self._reset_election(now)

    def _enter_term(self, term: int, now: timedelta) -> None:
        self._core.enter_term(term)
        self._follow(now)

    def _follow(self, now: timedelta) -> None:
        """Stand back, as a follower of nobody yet."""
        if self._leadership is not None:
            self._leadership = None
            self._core.leader_id = ""
        self._votes.clear()
        self._receiver.clear()
        self._role.follow()
        self._join_at = now + self._core.cfg.election_timeout_max
        self._reset_election(now)

    def _reset_election(self, now: timedelta) -> None:
        self._election_at = now + self._core.random_timeout()

    def _start_pre_vote(self, now: timedelta) -> None:
        """Ask whether an election could be won, without disturbing anybody."""
        self._role.start_pre_vote()
        self._core.leader_id = ""
        self._votes.clear()
        self._request_votes(pre=True)
        self._count_vote(self.replica_id, now)

    def _start_election(self, now: timedelta, *, is_transfer: bool = False) -> None:
        """Stand for election in the next term."""
        core = self._core
        core.enter_term(core.term + 1)
        core.voted_for = (core.replica_id, core.incarnation)
        self._role.start_election()
        self._votes.clear()
        self._reset_election(now)
        self._request_votes(pre=False, is_transfer=is_transfer)
        self._count_vote(self.replica_id, now)

    def _request_votes(self, *, pre: bool, is_transfer: bool = False) -> None:
        core = self._core
        request = VoteRequest(
            term=core.term + 1 if pre else core.term,
            incarnation=core.incarnation,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre=pre,
            transfer=is_transfer,
        )
        for member in core.members.voters:
            if member.replica_id != core.replica_id:
                core.send_synced(member.replica_id, request)

    def _count_vote(self, voter_id: str, now: timedelta) -> None:
        self._votes.add(voter_id)
        if len(self._votes) < self._core.members.quorum:
            return
        if self.role == PRE_CANDIDATE:
            self._start_election(now)
        else:
            self._lead(now)

    def _lead(self, now: timedelta) -> None:
        self._role.win_election()
        self._core.leader_id = self.replica_id
        self._leadership = Leadership(self._core, now)
        self._leadership.tick(now)

    def _announce(self, now: timedelta) -> None:
        """Tell all peers of this incarnation, since no leader has been heard."""
        self._join_at = now + self._core.cfg.election_timeout_max
        for peer in sorted(self._core.peers):
            self._send_join_request(peer, 0)

    def _send_join_request(self, receiver_id: str, challenge: int) -> None:
        core = self._core
        request = JoinRequest(
            term=core.term,
            incarnation=core.incarnation,
            address=core.address,
            challenge=challenge,
        )
        core.send(receiver_id, request)

    def _take_committed(self) -> tuple[LogEntry, ...]:
        if self._is_installing:
            return ()
        core = self._core
        last = min(core.commit_index, core.log.stable_index)
        entries = core.log.between(self._handed_index + 1, last)
        self._handed_index = max(self._handed_index, last)
        return tuple(entries)

    def _take_save(self) -> Save | None:
        core = self._core
        if not (core.log.has_unsaved or core.is_hard_state_dirty):
            return None
        self._is_saving = True
        truncate_from, entries = core.log.take_unsaved(None if core.cfg.batching else 1)
        return Save(
            hard_state=core.take_hard_state(always=False),
            truncate_from=truncate_from,
            entries=tuple(entries),
        )

    def _take_rewrite(self) -> Save:
        core = self._core
        self._is_saving = True
        return Save(
            hard_state=core.take_hard_state(always=True),
            entries=tuple(core.log.take_all()),
            log_start=core.log.start,
        )
