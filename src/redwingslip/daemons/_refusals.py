"""What a caller is told when a dispatcher gives no permit."""

from ..callers import BadRequestError, NotRunError
from ..peers import PermitRefusal, RefusalReason

__all__ = ["refusal_error"]

_REFUSALS = {
    RefusalReason.QUEUE_FULL: "the team's queue is full",
    RefusalReason.TOO_LATE: "it can't be answered within its time",
    RefusalReason.NO_CAPACITY: "no VM of the pool can hold it",
    RefusalReason.UNRUNNABLE: "it failed on several healthy endpoints",
    RefusalReason.OVER_LIMIT: "the team's upper limit is reached",
    RefusalReason.CANCELLED: "it was cancelled",
    RefusalReason.NOT_DISPATCHER: "the pool has no dispatcher now",
}

_NEVER = frozenset({RefusalReason.NO_CAPACITY, RefusalReason.UNRUNNABLE})


def refusal_error(refusal: PermitRefusal) -> NotRunError | BadRequestError:
    """Return the error that a refusal stands for."""
    detail = _REFUSALS[refusal.reason]
    if refusal.reason in _NEVER:
        return BadRequestError(detail, title="can't be run")
    return NotRunError(detail, retry_after=refusal.retry_after or None)
