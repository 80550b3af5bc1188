"""Answers to the platform's calls."""

import msgspec

from ..peers import RelayedAnswer, RelayedCall
from ..relay import AnswerUnknownError, RelayError
from ..scheduling import (
    CommandOutcomeUnknownError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    NotLeadingError,
)
from .exceptions import DocumentError

__all__ = ["answer", "refusal", "unanswered"]

# The shortest that Retry-After can say; an election takes less.
RETRY_AFTER_S = 1

_STATUSES = {
    DocumentError: 400,
    KeyRefusedError: 401,
    NoQueueError: 404,
    NoPlanError: 503,
    NotLeadingError: 503,
    CommandOutcomeUnknownError: 504,
}


def answer(call: RelayedCall, status: int, body: dict) -> RelayedAnswer:
    """Return an answer; one of status 503 says when to come back."""
    return RelayedAnswer(
        number=call.number,
        status=status,
        body=msgspec.json.encode(body),
        retry_after_s=RETRY_AFTER_S if status == 503 else 0,
    )


def refusal(call: RelayedCall, exc: Exception) -> RelayedAnswer:
    """Return the leader's answer to a call that failed.

    503 says that the call had no effect, 504 that it may have had one.
    """
    return answer(call, _STATUSES.get(type(exc), 500), {"error": str(exc)})


def unanswered(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the answer to a call that the leader did not answer."""
    status = 504 if isinstance(exc, AnswerUnknownError) else 503
    return answer(call, status, {"error": str(exc)})
