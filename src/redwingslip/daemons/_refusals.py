"""Errors that callers receive when a dispatcher refuses a permit."""

from ..callers import BadRequestError, NotRunError
from ..peers import PermitRefusal, RefusalReason

__all__ = ["refusal_error"]

_REASON_DETAILS = {
    RefusalReason.QUEUE_FULL: "the team's queue is full",
    RefusalReason.TOO_LATE: "the request can't be answered before its deadline",
    RefusalReason.NO_CAPACITY: "no VM of the pool has the capacity for the request",
    RefusalReason.UNRUNNABLE: "the request failed on several healthy endpoints",
    RefusalReason.OVER_LIMIT: "the team's upper limit is reached",
    RefusalReason.CANCELLED: "the request was cancelled",
    RefusalReason.NOT_DISPATCHER: "the pool has no dispatcher at present",
}

_PERMANENT_REASONS = frozenset({RefusalReason.NO_CAPACITY, RefusalReason.UNRUNNABLE})


def refusal_error(refusal: PermitRefusal) -> NotRunError | BadRequestError:
    """Return the caller's error for a refusal."""
    detail = _REASON_DETAILS[refusal.reason]
    if refusal.reason in _PERMANENT_REASONS:
        return BadRequestError(detail, title="can't be run")
    return NotRunError(detail, retry_after=refusal.retry_after or None)
