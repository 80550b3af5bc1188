"""Bootstrap of a cluster: agreement on its initial members before a log exists.

Each founder has its own incarnation and requests the incarnations of all others. The
founder with the lowest replica id decides the initial members once every other founder
has replied that it has not started either. The others adopt the members from any
replica that knows them. A founder that is not among the members was bootstrapped again
by mistake while the cluster is running, and must not take part.
"""

from datetime import timedelta
from functools import singledispatchmethod

from ._core import Envelope
from ._messages import ConsensusMessage, JoinReply, JoinRequest, Member
from ._records import Identity
from ._settings import ConsensusSettings
from .exceptions import BootstrapRefusedError

__all__ = ["BootstrapRound"]


class BootstrapRound:
    """The bootstrap of a founder that does not know the initial members yet.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    identity : Identity
        The identity of this replica.
    address : str
        ``host:port`` of this replica.
    peers : dict of str to str
        Addresses of the other founders by replica id.
    now : timedelta
        The monotonic time.

    Attributes
    ----------
    members : tuple of Member
        The initial members, empty until they are known.
    """

    __slots__ = (
        "_address",
        "_cfg",
        "_founder_incarnations",
        "_identity",
        "_outbox",
        "_peers",
        "_request_at",
        "members",
    )

    def __init__(
        self,
        *,
        cfg: ConsensusSettings,
        identity: Identity,
        address: str,
        peers: dict[str, str],
        now: timedelta,
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._address = address
        self._peers = peers
        self._request_at = now
        self._founder_incarnations: dict[str, str] = {}
        self._outbox: list[Envelope] = []
        self.members: tuple[Member, ...] = ()

    def tick(self, now: timedelta) -> None:
        """Send requests to the other founders when they are due."""
        if now < self._request_at:
            return
        self._request_at = now + self._cfg.election_timeout_min
        request = JoinRequest(
            term=0,
            incarnation=self._identity.incarnation,
            address=self._address,
            founder=True,
        )
        self._outbox.extend(Envelope(peer, request) for peer in sorted(self._peers))
        self._decide_members()

    def receive(self, sender_id: str, message: ConsensusMessage) -> None:
        """Handle a message from another replica.

        Raises
        ------
        BootstrapRefusedError
            If a cluster exists whose members do not include this incarnation.
        """
        if sender_id in self._peers:
            self._handle(message, sender_id)

    def take_messages(self) -> tuple[Envelope, ...]:
        """Return and clear the messages that can be sent."""
        messages = tuple(self._outbox)
        self._outbox.clear()
        return messages

    @singledispatchmethod
    def _handle(self, message: ConsensusMessage, sender_id: str) -> None:
        """Ignore messages that only members handle."""

    @_handle.register
    def _(self, message: JoinRequest, sender_id: str) -> None:
        reply = JoinReply(term=0, incarnation=self._identity.incarnation, founder=True)
        self._outbox.append(Envelope(sender_id, reply))

    @_handle.register
    def _(self, message: JoinReply, sender_id: str) -> None:
        if message.members:
            self._adopt_members(message.members)
        elif message.founder:
            self._founder_incarnations[sender_id] = message.incarnation
            self._decide_members()

    def _adopt_members(self, members: tuple[Member, ...]) -> None:
        identity = self._identity
        for member in members:
            if member.replica_id != identity.replica_id:
                continue
            if member.incarnation == identity.incarnation:
                self.members = members
                return
        raise BootstrapRefusedError(
            f"{identity.replica_id} can't bootstrap a cluster that exists already; "
            "start it on an empty data folder to let it join"
        )

    def _decide_members(self) -> None:
        """Decide the members if this founder has the lowest id and all have replied."""
        own_id = self._identity.replica_id
        if self.members or own_id != min([own_id, *self._peers]):
            return
        if self._founder_incarnations.keys() != self._peers.keys():
            return
        incarnations = {
            own_id: self._identity.incarnation,
            **self._founder_incarnations,
        }
        addresses = {own_id: self._address, **self._peers}
        self.members = tuple(
            Member(
                replica_id=replica_id,
                incarnation=incarnations[replica_id],
                address=addresses[replica_id],
            )
            for replica_id in sorted(incarnations)
        )
