"""Messages that carry calls from the outside to the leader of the log."""

import enum

from ._base import PeerMessage

__all__ = [
    "RelayMessage",
    "CallSource",
    "LeaderQuery",
    "LeaderReport",
    "RelayedAnswer",
    "RelayedCall",
]


class CallSource(enum.StrEnum):
    """Which interface a call came in by."""

    CALLERS = "callers"
    CONTROL = "control"
    SUBMITTERS = "submitters"


class RelayedCall(PeerMessage):
    """A call that only the leader can answer.

    Attributes
    ----------
    number : int
        Counts the calls of the sending process; the answer repeats it.
    request_id : str
        Names the call in the logs of both processes.
    host, token : str
        Host that was called and bearer token; empty for none.
    """

    number: int
    source: CallSource
    method: str
    path: str
    host: str = ""
    token: str = ""
    request_id: str = ""
    body: bytes = b""


class RelayedAnswer(PeerMessage):
    """The leader's answer.

    Attributes
    ----------
    is_taken : bool
        False from a replica that does not lead: the call had no effect.
    status : int
        HTTP status.
    retry_after_s : int
        Seconds after which to come back, 0 for no advice.
    """

    number: int
    is_taken: bool = True
    status: int = 200
    body: bytes = b""
    retry_after_s: int = 0


class LeaderQuery(PeerMessage):
    """Asks a replica who leads."""


class LeaderReport(PeerMessage):
    """What a replica knows of the leader.

    Attributes
    ----------
    leader_id : str
        Empty when unknown.
    has_lease : bool
        The sender leads, and no other replica can.
    members : tuple of str
        Replica ids, which are the addresses of their processes.
    """

    leader_id: str
    has_lease: bool
    members: tuple[str, ...] = ()


RelayMessage = RelayedCall | RelayedAnswer | LeaderQuery | LeaderReport
