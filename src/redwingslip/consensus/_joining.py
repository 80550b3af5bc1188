"""Join requests of a replica that has no contact with a leader."""

from collections.abc import Iterable
from datetime import timedelta

from ._core import Core
from ._messages import JoinRequest

__all__ = ["JoinAnnouncer"]


class JoinAnnouncer:
    """Sends join requests to the replicas that may know the leader.

    Parameters
    ----------
    core : Core
        The replica's shared state.
    now : timedelta
        The monotonic time.
    """

    __slots__ = ("_announce_at", "_core")

    def __init__(self, core: Core, now: timedelta) -> None:
        self._core = core
        self._announce_at = now
        # A replica that is not a member sends join requests immediately. A member first
        # gives the leader time to make contact.
        if core.is_member:
            self.postpone(now)

    def postpone(self, now: timedelta) -> None:
        """Delay the next join requests by the maximum election timeout."""
        self._announce_at = now + self._core.cfg.election_timeout_max

    def tick(self, now: timedelta) -> None:
        """Send join requests to all peers if no leader has made contact in time."""
        if now < self._announce_at:
            return
        core = self._core
        self.postpone(now)
        peers = set(core.peers)
        if core.cfg.is_open:
            peers |= {member.replica_id for member in core.membership.members}
        for peer in sorted(peers - {core.replica_id}):
            self._send_request(peer, 0)

    def answer_challenge(self, receiver_id: str, challenge: int) -> None:
        """Repeat the leader's challenge, to prove that this incarnation is running."""
        self._send_request(receiver_id, challenge)

    def add_peers(self, replica_ids: Iterable[str]) -> None:
        """Add peers, and send each new one a join request immediately."""
        core = self._core
        for replica_id in sorted(set(replica_ids) - core.peers - {core.replica_id}):
            core.peers.add(replica_id)
            self._send_request(replica_id, 0)

    def _send_request(self, receiver_id: str, challenge: int) -> None:
        core = self._core
        request = JoinRequest(
            term=core.term,
            incarnation=core.incarnation,
            address=core.address,
            challenge=challenge,
        )
        core.send(receiver_id, request)
