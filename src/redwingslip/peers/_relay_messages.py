"""Messages that relay external calls to the leader of the log."""

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
    """Interface on which a call was received."""

    CALLERS = "callers"
    CONTROL = "control"
    SUBMITTERS = "submitters"
    OPERATORS = "operators"


class RelayedCall(PeerMessage):
    """An external call that only the leader can answer.

    Attributes
    ----------
    number : int
        Number of the attempt within the sending process; the answer repeats it.
    request_id : str
        Identifies the call in the logs of both processes.
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
    """A replica's answer to a relayed call.

    Attributes
    ----------
    is_taken : bool
        Whether the replica leads and handled the call. If False, the call had no
        effect.
    status : int
        HTTP status.
    retry_after_s : int
        Seconds after which the caller should retry; 0 for no advice.
    """

    number: int
    is_taken: bool = True
    status: int = 200
    body: bytes = b""
    retry_after_s: int = 0


class LeaderQuery(PeerMessage):
    """A request to a replica to report the leader that it knows."""


class LeaderReport(PeerMessage):
    """A replica's report of the leader that it knows.

    Attributes
    ----------
    leader_id : str
        Empty if no leader is known.
    has_lease : bool
        Whether the sender leads under a lease, so that no other replica can lead.
    members : tuple of str
        Ids of the replicas; each id is the address of the replica's process.
    takes_delegates : bool
        Whether the sender understands requests for a lease as a delegate. Processes of
        earlier versions do not.
    """

    leader_id: str
    has_lease: bool
    members: tuple[str, ...] = ()
    takes_delegates: bool = False


RelayMessage = RelayedCall | RelayedAnswer | LeaderQuery | LeaderReport
