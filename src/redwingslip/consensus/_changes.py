"""Selection of the next member change by the leader."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from ._core import Core
from ._messages import JoinReply, JoinRequest, Member
from ._progress import Progress

__all__ = ["MemberChanges"]

N_CHALLENGE_BITS = 53


class _PeerView(NamedTuple):
    """The leader's replication progress per member at one point in time."""

    progress: Mapping[str, Progress]
    now: timedelta


class MemberChanges:
    """Adds joining replicas, promotes learners and replaces unresponsive voters.

    Parameters
    ----------
    core : Core
        The shared state of the leading replica.
    elected_at : timedelta
        The monotonic time of the leader's election.
    """

    __slots__ = ("_challenges", "_core", "_elected_at", "_joiners")

    def __init__(self, core: Core, elected_at: timedelta) -> None:
        self._core = core
        self._elected_at = elected_at
        self._challenges: dict[tuple[str, str], int] = {}
        self._joiners: dict[str, Member] = {}

    def receive_join(self, sender_id: str, msg: JoinRequest) -> bool:
        """Handle a join request; return whether a new incarnation may join.

        The first request is answered with a random challenge. The incarnation may join
        once it repeats the challenge, which proves that the request is not a delayed
        one of an incarnation that was replaced.
        """
        core = self._core
        key = (sender_id, msg.incarnation)
        is_known = core.cfg.is_open or sender_id in core.peers
        if not is_known or core.membership.find(*key):
            return False
        challenge = self._challenges.get(key)
        if challenge is not None and msg.challenge == challenge:
            del self._challenges[key]
            self._joiners[sender_id] = Member(
                replica_id=sender_id,
                incarnation=msg.incarnation,
                address=msg.address,
                voting=False,
            )
            return True
        if challenge is None:
            challenge = 1 + core.rng.getrandbits(N_CHALLENGE_BITS)
            self._challenges[key] = challenge
        reply = JoinReply(
            term=core.term, incarnation=core.incarnation, challenge=challenge
        )
        core.send(sender_id, reply)
        return False

    def next_members(
        self, progress: Mapping[str, Progress], now: timedelta
    ) -> tuple[Member, ...] | None:
        """Return the members after the next change, None when no change is needed.

        Parameters
        ----------
        progress : mapping of str to Progress
            Replication progress of the other members.
        now : timedelta
            The monotonic time.
        """
        peers = _PeerView(progress, now)
        return (
            self._members_with_joiner()
            or self._members_without_surplus(peers)
            or self._members_with_promotion(peers)
        )

    def _members_with_joiner(self) -> tuple[Member, ...] | None:
        """Return the members with a joining incarnation as a learner.

        It replaces an earlier incarnation of the same replica.
        """
        if not self._joiners:
            return None
        replica_id, joiner = self._joiners.popitem()
        other_members = [
            member
            for member in self._core.membership.members
            if member.replica_id != replica_id
        ]
        return tuple(sorted([*other_members, joiner]))

    def _members_with_promotion(self, peers: _PeerView) -> tuple[Member, ...] | None:
        """Return the members with the first caught-up learner promoted to a voter."""
        members = self._core.membership.members
        for position, member in enumerate(members):
            if self._is_promotable(member, peers):
                if not self._has_room(peers):
                    return None
                promoted = msgspec.structs.replace(member, voting=True)
                return (*members[:position], promoted, *members[position + 1 :])
        return None

    def _members_without_surplus(self, peers: _PeerView) -> tuple[Member, ...] | None:
        """Return the members without the voter that an open cluster has too many.

        An unresponsive voter is removed. Once all have replied to this leader, the last
        one becomes a learner again.

        The change before this one promoted a learner. Changing both in one change could
        allow two majorities without a common member.
        """
        core = self._core
        voters = core.membership.voters
        if not core.cfg.is_open or len(voters) <= core.cfg.max_voters:
            return None
        members = core.membership.members
        unresponsive = self._unresponsive_voter(peers)
        if unresponsive is not None:
            return tuple(member for member in members if member is not unresponsive)
        others = [m for m in voters if m.replica_id != core.replica_id]
        if any(peers.progress[m.replica_id].contact_at is None for m in others):
            return None
        learner = msgspec.structs.replace(others[-1], voting=False)
        return tuple(learner if m is others[-1] else m for m in members)

    def _has_room(self, peers: _PeerView) -> bool:
        """Return whether another replica may vote.

        An open cluster that is full has one voter too many until an unresponsive one is
        removed. With one too few, losing two disks could end it for good.
        """
        core = self._core
        n_voters = len(core.membership.voters)
        if not core.cfg.is_open or n_voters < core.cfg.max_voters:
            return True
        is_full = n_voters == core.cfg.max_voters
        return is_full and self._unresponsive_voter(peers) is not None

    def _unresponsive_voter(self, peers: _PeerView) -> Member | None:
        """Return the first voter that has exceeded `voter_silence`, or None."""
        for member in self._core.membership.voters:
            if self._is_unresponsive(member, peers):
                return member
        return None

    def _is_promotable(self, member: Member, peers: _PeerView) -> bool:
        """Return whether a member is a responsive, caught-up learner."""
        if member.voting or self._is_unresponsive(member, peers):
            return False
        progress = peers.progress[member.replica_id]
        return progress.match_index >= self._core.commit_index

    def _is_unresponsive(self, member: Member, peers: _PeerView) -> bool:
        """Return whether a member of an open cluster has exceeded `voter_silence`."""
        core = self._core
        if not core.cfg.is_open or member.replica_id == core.replica_id:
            return False
        contact_at = peers.progress[member.replica_id].contact_at or self._elected_at
        return peers.now > max(contact_at, self._elected_at) + core.cfg.voter_silence
