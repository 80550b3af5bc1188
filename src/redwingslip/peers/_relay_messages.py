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
        Number of the attempt, see `RequestNumbers`; the answer repeats it.
    call_id : int
        Number of the call's first attempt; 0 from a process of an earlier version.
    term : int
        Term of the leader that the attempt is sent to. A controller that does not lead
        in this term rejects it. 0 for any term, from a process of an earlier version.
    request_id : str
        Identifies the call in the logs of both processes.
    host, token : str
        Host that was called and bearer token; empty for none.
    """

    number: int
    source: CallSource
    method: str
    path: str
    call_id: int = 0
    term: int = 0
    host: str = ""
    token: str = ""
    request_id: str = ""
    body: bytes = b""

    @property
    def is_repeated(self) -> bool:
        """Return whether an earlier attempt of the call may have been handled."""
        return self.call_id not in (0, self.number)


class RelayedAnswer(PeerMessage):
    """A replica's answer to a relayed call.

    Attributes
    ----------
    is_taken : bool
        Whether the replica leads and handled the call. If False, the call had no
        effect.
    is_final : bool
        Whether the answer holds for each attempt of the call: no earlier one has had,
        or will have, another outcome.
    status : int
        HTTP status.
    retry_after_s : int
        Seconds after which the caller should retry; 0 for no advice.
    """

    number: int
    is_taken: bool = True
    is_final: bool = False
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
    term : int
        Term in which the sender leads; 0 if it does not, or is of an earlier version.
    members : tuple of str
        Ids of the replicas; each id is the address of the replica's process.
    takes_delegates : bool
        Whether the sender understands requests for a lease as a delegate. Processes of
        earlier versions do not.
    """

    leader_id: str
    has_lease: bool
    term: int = 0
    members: tuple[str, ...] = ()
    takes_delegates: bool = False


RelayMessage = RelayedCall | RelayedAnswer | LeaderQuery | LeaderReport
