"""Leader elections: the election timer, granting votes and counting votes."""

from datetime import timedelta

from ._core import Core
from ._messages import VoteReply, VoteRequest
from ._role import CANDIDATE, PRE_CANDIDATE, Role

__all__ = ["Election"]


class Election:
    """The election timer of a replica and the votes that it has received.

    Parameters
    ----------
    core : Core
        The replica's shared state.
    role : Role
        The replica's role.
    now : timedelta
        The monotonic time at the start of the replica.
    """

    __slots__ = ("_core", "_no_vote_until", "_role", "_timeout_at", "_votes")

    def __init__(self, core: Core, role: Role, now: timedelta) -> None:
        self._core = core
        self._role = role
        self._votes: set[str] = set()
        # The replica may have received a leader's heartbeat just before a restart. That
        # leader's lease then relies on this replica not to vote.
        self._no_vote_until = now + core.cfg.election_timeout_min
        self._timeout_at = now
        self.restart_timer(now)

    def is_withholding_vote(self, now: timedelta) -> bool:
        """Return whether a leader's lease may rely on this replica not to vote."""
        return now < self._no_vote_until

    def has_timed_out(self, now: timedelta) -> bool:
        """Return whether the election timeout has passed without leader contact."""
        return now >= self._timeout_at

    def restart_timer(self, now: timedelta) -> None:
        """Restart the timer with a new random election timeout."""
        self._timeout_at = now + self._core.random_timeout()

    def note_leader_contact(self, now: timedelta) -> None:
        """Restart the timer and withhold votes, after a message from the leader."""
        self._no_vote_until = now + self._core.cfg.election_timeout_min
        self.restart_timer(now)

    def start_pre_vote(self) -> bool:
        """Request pre-votes, which show whether an election could be won.

        Returns
        -------
        bool
            Whether the replica's own pre-vote is already a majority.
        """
        core = self._core
        self._role.start_pre_vote()
        core.leader_id = ""
        self._votes.clear()
        self._request_votes(core.term + 1, pre=True)
        return self._add_vote(core.replica_id)

    def start(self, now: timedelta, *, is_transfer: bool = False) -> bool:
        """Start an election in the next term and request votes.

        Parameters
        ----------
        now : timedelta
            The monotonic time.
        is_transfer : bool
            The leader requested this election, so voters grant it despite their
            recent leader contact.

        Returns
        -------
        bool
            Whether the replica's own vote is already a majority.
        """
        core = self._core
        core.enter_term(core.term + 1)
        core.voted_for = (core.replica_id, core.incarnation)
        self._role.start_election()
        self._votes.clear()
        self.restart_timer(now)
        self._request_votes(core.term, pre=False, is_transfer=is_transfer)
        return self._add_vote(core.replica_id)

    def cancel(self) -> None:
        """Discard the votes received."""
        self._votes.clear()

    def handle_vote_request(
        self, sender_id: str, msg: VoteRequest, now: timedelta
    ) -> None:
        """Grant or refuse a vote or pre-vote.

        For a vote, the caller has already moved this replica to the request's term if
        that is newer.
        """
        core = self._core
        is_current = core.is_log_current(msg.last_index, msg.last_term)
        if msg.pre:
            has_leader_contact = self.is_withholding_vote(now) or self._role.is_leader()
            is_granted = msg.term > core.term and not has_leader_contact and is_current
        else:
            is_granted = is_current and self._grant_vote(sender_id, msg, now)
        reply = VoteReply(
            term=msg.term if is_granted else core.term,
            incarnation=core.incarnation,
            granted=is_granted,
            pre=msg.pre,
        )
        core.send_after_sync(sender_id, reply)

    def count_vote(self, sender_id: str, msg: VoteReply) -> bool:
        """Count a granted vote of a voter; return whether the (pre-)vote is won."""
        role, term = CANDIDATE, self._core.term
        if msg.pre:
            role, term = PRE_CANDIDATE, self._core.term + 1
        if self._role.state != role or msg.term != term:
            return False
        return self._add_vote(sender_id)

    def _grant_vote(self, sender_id: str, msg: VoteRequest, now: timedelta) -> bool:
        """Vote for a candidate unless this term's vote went to another one."""
        core = self._core
        candidate = (sender_id, msg.incarnation)
        if msg.term != core.term or core.voted_for not in (None, candidate):
            return False
        core.voted_for = candidate
        self.restart_timer(now)
        return True

    def _add_vote(self, voter_id: str) -> bool:
        self._votes.add(voter_id)
        return len(self._votes) >= self._core.membership.quorum

    def _request_votes(
        self, term: int, *, pre: bool, is_transfer: bool = False
    ) -> None:
        core = self._core
        request = VoteRequest(
            term=term,
            incarnation=core.incarnation,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre=pre,
            transfer=is_transfer,
        )
        for member in core.membership.voters:
            if member.replica_id != core.replica_id:
                core.send_after_sync(member.replica_id, request)
