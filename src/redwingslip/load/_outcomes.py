"""What callers saw."""

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
    kind : OutcomeKind
        ``not-asked`` when too many requests were open, ``lost`` when it ended
        without any outcome.
    body_sha256 : str
        What the endpoints record of its body.
    began_at, took : timedelta
        When it was handed in, from the beginning of the load, and how long it took.
    request_id : str
        What the entry called it; empty when no answer came.
    title : str
        Title of the problem document.
    is_timely : bool
        Whether the whole answer came within the deadline.
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
