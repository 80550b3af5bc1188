"""Problem documents for calls that the leader refused or did not answer."""

from functools import singledispatch

import msgspec

from ..http import NOT_RUN, UNKNOWN, Problem
from ..peers import RelayedAnswer, RelayedCall
from ..relay import CallOutcomeUnknownError, RelayError
from ..scheduling import (
    CommandOutcomeUnknownError,
    NotLeadingError,
    UnknownDataCentreError,
)

__all__ = ["error_answer", "relay_error_answer"]

# The shortest time that Retry-After can express; an election takes less.
RETRY_AFTER_S = 1
UNAVAILABLE_STATUS = 503


def error_answer(call: RelayedCall, exc: Exception) -> RelayedAnswer:
    """Return the leader's answer to a call that failed."""
    return _answer(call, _describe(exc))


def relay_error_answer(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the answer to a call that the leader did not answer."""
    return _answer(call, _describe(exc))


def _answer(call: RelayedCall, problem: Problem) -> RelayedAnswer:
    return RelayedAnswer(
        number=call.number,
        status=problem.status,
        body=msgspec.json.encode(problem),
        retry_after_s=RETRY_AFTER_S if problem.status == UNAVAILABLE_STATUS else 0,
    )


@singledispatch
def _describe(exc: Exception) -> Problem:
    return Problem(status=500, title="fault of the server", outcome=UNKNOWN)


@_describe.register
def _(exc: UnknownDataCentreError) -> Problem:
    return Problem(
        status=404, title="no such data centre", detail=str(exc), outcome=NOT_RUN
    )


@_describe.register(NotLeadingError)
@_describe.register(RelayError)
def _(exc: Exception) -> Problem:
    return Problem(
        status=UNAVAILABLE_STATUS, title="not run", detail=str(exc), outcome=NOT_RUN
    )


@_describe.register(CommandOutcomeUnknownError)
@_describe.register(CallOutcomeUnknownError)
def _(exc: Exception) -> Problem:
    # The call may be repeated, since a second one changes nothing.
    detail = f"{exc}; send it again"
    return Problem(status=504, title="outcome unknown", detail=detail, outcome=UNKNOWN)
