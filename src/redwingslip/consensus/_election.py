"""Elections: when to stand, whom to vote for, and whose votes count."""

from datetime import timedelta

from ._core import Core
from ._messages import VoteReply, VoteRequest
from ._role import CANDIDATE, PRE_CANDIDATE, Role

__all__ = ["Election"]


class Election:
    """A replica's timer, its vote and the votes that it was given.

    Parameters
    ----------
    core : Core
        The replica.
    role : Role
        Its role.
    now : timedelta
        When it was started.
    """

    __slots__ = ("_core", "_no_vote_until", "_role", "_timeout_at", "_votes")

    def __init__(self, core: Core, role: Role, now: timedelta) -> None:
        self._core = core
        self._role = role
        self._votes: set[str] = set()
        # It may have heard a leader just before it was restarted, and that leader
        # may count on it.
        self._no_vote_until = now + core.cfg.election_timeout_min
        self._timeout_at = now
        self.restart_timer(now)

    def is_withholding_vote(self, now: timedelta) -> bool:
        """Return whether a leader may count on this replica not to vote."""
        return now < self._no_vote_until

    def has_timed_out(self, now: timedelta) -> bool:
        """Return whether no leader has been heard for the election timeout."""
        return now >= self._timeout_at

    def restart_timer(self, now: timedelta) -> None:
        """Wait for another, random election timeout."""
        self._timeout_at = now + self._core.random_timeout()

    def note_leader_contact(self, now: timedelta) -> None:
        """Note a leader's message."""
        self._no_vote_until = now + self._core.cfg.election_timeout_min
        self.restart_timer(now)

    def start_pre_vote(self) -> bool:
        """Ask whether an election could be won; return whether it could already."""
        core = self._core
        self._role.start_pre_vote()
        core.leader_id = ""
        self._votes.clear()
        self._request_votes(core.term + 1, pre=True)
        return self._add_vote(core.replica_id)

    def start(self, now: timedelta, *, is_transfer: bool = False) -> bool:
        """Stand for election in the next term; return whether it is won already."""
        core = self._core
        core.enter_term(core.term + 1)
        core.voted_for = (core.replica_id, core.incarnation)
        self._role.start_election()
        self._votes.clear()
        self.restart_timer(now)
        self._request_votes(core.term, pre=False, is_transfer=is_transfer)
        return self._add_vote(core.replica_id)

    def cancel(self) -> None:
        """Drop the votes."""
        self._votes.clear()

    def handle_vote_request(
        self, sender_id: str, msg: VoteRequest, now: timedelta
    ) -> None:
        """Answer a request for a vote, in whose term this replica is by now."""
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
        """Take a vote of a member's; return whether the (pre-)election is won."""
        role, term = CANDIDATE, self._core.term
        if msg.pre:
            role, term = PRE_CANDIDATE, self._core.term + 1
        if self._role.state != role or msg.term != term:
            return False
        return self._add_vote(sender_id)

    def _grant_vote(self, sender_id: str, msg: VoteRequest, now: timedelta) -> bool:
        """Vote for a candidate unless another one has the vote of this term."""
        core = self._core
        candidate = (sender_id, msg.incarnation)
        if msg.term != core.term or core.voted_for not in (None, candidate):
            return False
        core.voted_for = candidate
        self.restart_timer(now)
        return True

    def _add_vote(self, voter_id: str) -> bool:
        self._votes.add(voter_id)
        return len(self._votes) >= self._core.members.quorum

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
        for member in core.members.voters:
            if member.replica_id != core.replica_id:
                core.send_after_sync(member.replica_id, request)
