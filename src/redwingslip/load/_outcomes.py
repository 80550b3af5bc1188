"""Outcomes of requests as their callers saw them."""

import enum
from datetime import timedelta

import msgspec

__all__ = ["CallOutcome", "OutcomeKind"]


class OutcomeKind(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    NOT_ASKED = "not-asked"
    LOST = "lost"


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """One request as its caller saw it.

    Attributes
    ----------
    number : int
        Number of the arrival.
    kind : OutcomeKind
        ``not-asked`` when the request was not sent because too many were open;
        ``lost`` when it ended without any outcome.
    body_sha256 : str
        SHA-256 of the body in hexadecimal, as the endpoints record it.
    began_at, took : timedelta
        Time from the start of the load to the sending of the request, and time from
        there to its end.
    status : int
        HTTP status of the answer; 0 for none.
    request_id : str
        Id that the entry gave the request; empty when no answer came.
    title : str
        Title of the problem document, or what went wrong without one.
    is_timely : bool
        Whether the complete answer came within the deadline.
    is_crossed : bool
        Whether the answer belongs to another request.
    """

    number: int
    queue: str
    team: str
    idempotent: bool
    body_sha256: str
    kind: OutcomeKind
    began_at: timedelta = timedelta(0)
    took: timedelta = timedelta(0)
    status: int = 0
    request_id: str = ""
    title: str = ""
    is_timely: bool = False
    is_crossed: bool = False
