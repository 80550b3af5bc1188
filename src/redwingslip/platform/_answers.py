"""Answers to the platform's calls."""

import math

import msgspec

from ..peers import RelayedAnswer, RelayedCall
from ..relay import CallOutcomeUnknownError, RelayError
from ..scheduling import (
    CommandOutcomeUnknownError,
    JobRefusedError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    NotLeadingError,
    UnknownDataCentreError,
    VmUnansweredError,
    VmUnconfirmedError,
)
from .exceptions import DocumentError

__all__ = ["error_answer", "json_answer", "relay_error_answer"]

# The shortest time that Retry-After can express; an election takes less.
RETRY_AFTER_S = 1

_STATUSES_BY_ERROR = {
    DocumentError: 400,
    KeyRefusedError: 401,
    NoQueueError: 404,
    UnknownDataCentreError: 404,
    JobRefusedError: 503,
    NoPlanError: 503,
    NotLeadingError: 503,
    VmUnansweredError: 503,
    VmUnconfirmedError: 503,
    CommandOutcomeUnknownError: 504,
}


def json_answer(
    call: RelayedCall, status: int, body: dict, *, retry_after_s: int = RETRY_AFTER_S
) -> RelayedAnswer:
    """Return an answer with a JSON body; status 503 gets a retry time."""
    return RelayedAnswer(
        number=call.number,
        status=status,
        body=msgspec.json.encode(body),
        retry_after_s=retry_after_s if status == 503 else 0,
    )


def error_answer(call: RelayedCall, exc: Exception) -> RelayedAnswer:
    """Return the leader's answer to a call that failed.

    Status 503 means that the call had no effect, 504 that it may have had one.
    """
    retry_after_s = RETRY_AFTER_S
    if isinstance(exc, JobRefusedError):
        retry_after_s = math.ceil(exc.retry_after.total_seconds())
    status = _STATUSES_BY_ERROR.get(type(exc), 500)
    return json_answer(call, status, {"error": str(exc)}, retry_after_s=retry_after_s)


def relay_error_answer(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the answer to a call that the leader did not answer."""
    status = 504 if isinstance(exc, CallOutcomeUnknownError) else 503
    return json_answer(call, status, {"error": str(exc)})
