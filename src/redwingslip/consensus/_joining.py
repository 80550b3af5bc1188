"""How a replica announces itself while no leader talks to it."""

from collections.abc import Iterable
from datetime import timedelta

from ._core import Core
from ._messages import JoinRequest

__all__ = ["JoinAnnouncer"]


class JoinAnnouncer:
    """Announces a replica to those that may know the leader.

    Parameters
    ----------
    core : Core
        The replica.
    now : timedelta
        The monotonic time.
    """

    __slots__ = ("_announce_at", "_core")

    def __init__(self, core: Core, now: timedelta) -> None:
        self._core = core
        self._announce_at = now
        # A newcomer announces itself at once, a member gives the leader time.
        if core.is_member:
            self.postpone(now)

    def postpone(self, now: timedelta) -> None:
        """Give the leader time before the next announcement."""
        self._announce_at = now + self._core.cfg.election_timeout_max

    def tick(self, now: timedelta) -> None:
        """Tell all peers of this incarnation if no leader has been heard."""
        if now < self._announce_at:
            return
        core = self._core
        self.postpone(now)
        peers = set(core.peers)
        if core.cfg.is_open:
            peers |= {member.replica_id for member in core.members.members}
        for peer in sorted(peers - {core.replica_id}):
            self._send_request(peer, 0)

    def answer_challenge(self, receiver_id: str, challenge: int) -> None:
        """Show the leader that this incarnation is alive."""
        self._send_request(receiver_id, challenge)

    def add_peers(self, replica_ids: Iterable[str]) -> None:
        """Take further replicas to ask, and ask them at once."""
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
