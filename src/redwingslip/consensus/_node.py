"""A Raft replica without I/O: it takes messages and times and returns a `Ready`."""

import random
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod

from ._core import Core
from ._election import Election
from ._follower import SnapshotReceiver, accept_append, install_snapshot
from ._joining import JoinAnnouncer
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
from ._ready import Outputs, Ready
from ._records import Snapshot, StoredState
from ._role import FOLLOWER, PRE_CANDIDATE, Role
from ._settings import ConsensusSettings
from .exceptions import ConsensusError, NotLeaderError

__all__ = ["RaftNode"]


class RaftNode:
    """A replica of the log that uses no sockets, tasks, disk or clock of its own.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    stored : StoredState
        The state loaded from the data folder.
    address : str
        ``host:port`` of this replica.
    peers : frozenset of str
        Ids of the other replicas in the settings.
    rng : random.Random
        Random source for election timeouts and join challenges.
    now : timedelta
        The monotonic time at the start. Every call must use the same clock.
    """

    __slots__ = (
        "_announcer",
        "_core",
        "_election",
        "_leadership",
        "_outputs",
        "_role",
        "_snapshot_receiver",
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
        core = Core(cfg=cfg, stored=stored, address=address, peers=peers, rng=rng)
        self._core = core
        self._role = Role()
        self._election = Election(core, self._role, now)
        self._leadership: Leadership | None = None
        self._snapshot_receiver = SnapshotReceiver()
        self._outputs = Outputs(core)
        self._announcer = JoinAnnouncer(core, now)

    @property
    def replica_id(self) -> str:
        """Return the id of this replica."""
        return self._core.replica_id

    @property
    def incarnation(self) -> str:
        """Return the incarnation id stored in the data folder."""
        return self._core.incarnation

    @property
    def role(self) -> str:
        """Return the name of the current role, one of the constants in `_role`."""
        return self._role.state

    @property
    def is_leader(self) -> bool:
        """Return whether this replica believes that it is the leader."""
        return self._leadership is not None

    @property
    def is_transferring(self) -> bool:
        """Return whether this replica leads and is transferring its leadership."""
        return self._leadership is not None and self._leadership.is_transferring

    @property
    def leader_id(self) -> str:
        """Return the id of the current term's leader, empty when unknown."""
        return self._core.leader_id

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Return the highest log index known to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last log entry."""
        return self._core.log.last_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members according to the latest membership entry in the log."""
        return self._core.membership.members

    @property
    def is_voter(self) -> bool:
        """Return whether this incarnation is a voter according to its own log."""
        return self._core.is_voter

    @property
    def first_index_of_term(self) -> int:
        """Return the index of the first entry of this leader's term.

        The leader's state machine is current once this entry is applied. The index is
        0 on a replica that does not lead.
        """
        return self._leadership.first_index if self._leadership else 0

    def has_quorum_lease(self, now: timedelta) -> bool:
        """Return whether this replica leads and no other leader can exist."""
        return self.lease_remaining(now) > timedelta(0)

    def lease_remaining(self, now: timedelta) -> timedelta:
        """Return for how much longer this replica leads and no other leader can exist.

        It is zero on a replica that does not lead.
        """
        if self._leadership is None:
            return timedelta(0)
        return self._leadership.lease_remaining(now)

    def is_repaired(self, replica_id: str, incarnation: str) -> bool:
        """Return whether the leader knows that a replica is fully repaired.

        A repaired incarnation is a voter and has on its disk everything that was
        committed until it became a voter. Losing another member's disk immediately
        afterwards then loses no committed entry. The result is False on a replica
        that does not lead.
        """
        leadership = self._leadership
        return leadership is not None and leadership.is_repaired(
            replica_id, incarnation
        )

    def tick(self, now: timedelta) -> None:
        """Handle expired timers; to be called several times per heartbeat interval."""
        is_disk_stalled = self._outputs.is_disk_stalled(now)
        if self._leadership is not None:
            # A leader with a stalled disk can't acknowledge anything, but its
            # heartbeats would keep the others from electing a new leader.
            if is_disk_stalled or not self._leadership.tick(now):
                self._become_follower(now)
            return
        if self._election.has_timed_out(now):
            self._election.restart_timer(now)
            if (
                self.is_voter
                and not is_disk_stalled
                and self._election.start_pre_vote()
            ):
                self._handle_vote_won(now)
        self._announcer.tick(now)

    def propose(self, data: bytes) -> LogEntry:
        """Append a command to the log and return its entry, which is not yet committed.

        Raises
        ------
        NotLeaderError
            If this replica does not lead or is transferring its leadership.
        """
        if self._leadership is None or self._leadership.is_transferring:
            raise NotLeaderError(self.leader_id)
        index = self._leadership.append(EntryKind.COMMAND, data)
        return self._core.log.entry_at(index)

    def transfer_leadership(self, now: timedelta, target_id: str = "") -> bool:
        """Start a leadership transfer; return False if it can't start."""
        if self._leadership is None:
            return False
        return self._leadership.transfer(now, target_id)

    def compact(self, index: int, data: bytes) -> None:
        """Store the state machine's snapshot at an index, and compact the log."""
        core = self._core
        if core.snapshot is not None and index <= core.snapshot.index:
            return
        core.snapshot = Snapshot(
            index=index,
            term=core.log.term_at(index),
            members=core.membership.members_at(index),
            data=data,
        )
        self._outputs.add_snapshot(core.snapshot, is_installed=False)
        core.membership.compact(index)
        first = max(core.log.start.index, index - core.cfg.n_trailing_entries)
        first = core.log.start_within(
            first, index, max_bytes=core.cfg.max_log_bytes // 2
        )
        core.log.compact(max(core.log.start.index, min(first, core.log.stable_index)))

    def take_ready(self, now: timedelta) -> Ready:
        """Return the work for the owner, with at most one save in progress."""
        if self._leadership is not None:
            self._leadership.replicate()
        return self._outputs.take_ready(now, is_leader=self.is_leader)

    def mark_saved(self, now: timedelta) -> None:
        """Record that the save in progress is durable."""
        self._outputs.mark_saved()
        if self._leadership is not None:
            self._leadership.advance_commit()

    def receive(
        self, sender_id: str, message: ConsensusMessage, now: timedelta
    ) -> None:
        """Handle a message from another replica."""
        self._handle(message, sender_id, now)

    @singledispatchmethod
    def _handle(
        self, message: ConsensusMessage, sender_id: str, now: timedelta
    ) -> None:
        raise TypeError(f"unknown consensus message: {message!r}")

    @_handle.register
    def _(self, message: VoteRequest, sender_id: str, now: timedelta) -> None:
        if not message.pre:
            if self._is_withholding_vote(now) and not message.transfer:
                return
            if message.term > self.term:
                self._enter_term(message.term, now)
        self._election.handle_vote_request(sender_id, message, now)

    @_handle.register
    def _(self, message: VoteReply, sender_id: str, now: timedelta) -> None:
        core = self._core
        if not core.membership.is_voter(sender_id, message.incarnation):
            return
        if not message.granted:
            if message.term > core.term:
                self._enter_term(message.term, now)
        elif self._election.count_vote(sender_id, message):
            self._handle_vote_won(now)

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
            core.send_after_sync(sender_id, reply)
            return
        self._accept_leader(sender_id, message.term, now)
        accept_append(core, sender_id, message)

    @_handle.register
    def _(self, message: AppendReply, sender_id: str, now: timedelta) -> None:
        if self._is_reply_to_leader(message, sender_id, now):
            self._leadership.receive_append_reply(sender_id, message)

    @_handle.register
    def _(self, message: InstallSnapshot, sender_id: str, now: timedelta) -> None:
        core = self._core
        if message.term < core.term:
            return
        self._accept_leader(sender_id, message.term, now)
        snapshot = self._snapshot_receiver.receive(core, sender_id, message)
        if snapshot is None:
            return
        if install_snapshot(core, sender_id, message, snapshot):
            self._outputs.add_snapshot(snapshot, is_installed=True)

    @_handle.register
    def _(self, message: SnapshotReply, sender_id: str, now: timedelta) -> None:
        if self._is_reply_to_leader(message, sender_id, now):
            self._leadership.receive_snapshot_reply(sender_id, message)

    @_handle.register
    def _(self, message: TimeoutNow, sender_id: str, now: timedelta) -> None:
        core = self._core
        is_from_leader = message.term == core.term and sender_id == core.leader_id
        if not (is_from_leader and self.is_voter):
            return
        if self._election.start(now, is_transfer=True):
            self._handle_vote_won(now)

    @_handle.register
    def _(self, message: JoinRequest, sender_id: str, now: timedelta) -> None:
        core = self._core
        if not message.founder and self._leadership is not None:
            self._leadership.receive_join(sender_id, message)
        elif message.founder or core.cfg.is_open:
            reply = JoinReply(
                term=core.term,
                incarnation=core.incarnation,
                members=core.membership.members,
            )
            core.send(sender_id, reply)

    @_handle.register
    def _(self, message: JoinReply, sender_id: str, now: timedelta) -> None:
        if message.challenge:
            self._announcer.answer_challenge(sender_id, message.challenge)
        elif self._core.cfg.is_open:
            self._announcer.add_peers(member.replica_id for member in message.members)

    def add_peers(self, replica_ids: Iterable[str]) -> None:
        """Add replicas that are sent join requests, and send the first ones."""
        self._announcer.add_peers(replica_ids)

    def _is_withholding_vote(self, now: timedelta) -> bool:
        """Return whether a leader's lease may rely on this replica not to vote."""
        if self._leadership is not None:
            return self.has_quorum_lease(now)
        return self._election.is_withholding_vote(now)

    def _is_reply_to_leader(
        self, message: AppendReply | SnapshotReply, sender_id: str, now: timedelta
    ) -> bool:
        """Return whether a member's reply is to this leader in its current term."""
        core = self._core
        if core.membership.find(sender_id, message.incarnation) is None:
            return False
        if message.term > core.term:
            self._enter_term(message.term, now)
        return self._leadership is not None and message.term == core.term

    def _accept_leader(self, leader_id: str, term: int, now: timedelta) -> None:
        """Follow the leader of a term that is not older than our own."""
        core = self._core
        if term > core.term:
            self._enter_term(term, now)
        elif self._leadership is not None:
            raise ConsensusError(
                f"{leader_id} claims the leadership of our own term {term}"
            )
        elif self.role != FOLLOWER:
            self._become_follower(now)
        core.leader_id = leader_id
        self._election.note_leader_contact(now)
        # If this incarnation is not a member, the leader addresses an earlier one, and
        # is perhaps none of the replicas in the settings.
        if core.is_member:
            self._announcer.postpone(now)
        else:
            self._announcer.add_peers([leader_id])

    def _enter_term(self, term: int, now: timedelta) -> None:
        self._core.enter_term(term)
        self._become_follower(now)

    def _become_follower(self, now: timedelta) -> None:
        """Become a follower whose leader is not yet known."""
        if self._leadership is not None:
            self._leadership = None
            self._core.leader_id = ""
        self._election.cancel()
        self._election.restart_timer(now)
        self._snapshot_receiver.clear()
        self._role.follow()
        self._announcer.postpone(now)

    def _handle_vote_won(self, now: timedelta) -> None:
        """Start the election after a won pre-vote, or lead after a won election."""
        if self.role == PRE_CANDIDATE and not self._election.start(now):
            return
        self._role.win_election()
        self._core.leader_id = self.replica_id
        self._leadership = Leadership(self._core, now)
        self._leadership.tick(now)
