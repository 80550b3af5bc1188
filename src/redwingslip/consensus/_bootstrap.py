"""How the founding members agree on who they are, before there is a log.

Each founder has an incarnation of its own and asks all others. The founder with the
lowest replica id fixes the members once all have answered that they have not begun;
the others take the members from anyone who has. A founder that is not among them was
founded again by mistake beside a living log, and must not take part.
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
    """A founder that does not know the founding members yet.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    identity : Identity
        Of this replica.
    address : str
        Own ``host:port``.
    peers : dict of str to str
        Replica ids of the others and their addresses.
    now : timedelta
        The monotonic time.

    Attributes
    ----------
    members : tuple of Member
        The founding members, empty until they are known.
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
        """Ask the others from time to time."""
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
        """Take a message.

        Raises
        ------
        FoundingRefusedError
            If there is a log whose members do not include this incarnation.
        """
        if sender_id in self._peers:
            self._handle(message, sender_id)

    def take_messages(self) -> tuple[Envelope, ...]:
        """Return what is to be sent now."""
        messages = tuple(self._outbox)
        self._outbox.clear()
        return messages

    @singledispatchmethod
    def _handle(self, message: ConsensusMessage, sender_id: str) -> None:
        """Ignore what is only for members."""

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
            f"{identity.replica_id} was told to found a log that lives already; "
            "start it on an empty data folder to let it join"
        )

    def _decide_members(self) -> None:
        """Fix the members, if that is this founder's task and all have answered."""
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
