"""Problem documents for calls that the leader refused or did not answer."""

import math
from functools import singledispatch

from ..http import NOT_RUN, Problem
from ..peers import RelayedAnswer, RelayedCall
from ..relay import (
    RETRY_AFTER_S,
    CallOutcomeUnknownError,
    RelayError,
    fault_problem,
    not_run_problem,
    problem_answer,
    unknown_outcome_problem,
)
from ..scheduling import (
    CommandOutcomeUnknownError,
    JobRefusedError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    NotLeadingError,
)
from .exceptions import InvalidJobDocumentError, NoJobError

__all__ = ["error_answer", "relay_error_answer"]

_RESEND_ADVICE = "send it again with the same id: it stays one job"


def error_answer(call: RelayedCall, exc: Exception) -> RelayedAnswer:
    """Return the leader's answer to a call that failed."""
    retry_after_s = RETRY_AFTER_S
    if isinstance(exc, JobRefusedError):
        retry_after_s = math.ceil(exc.retry_after.total_seconds())
    return problem_answer(call, _describe(exc), retry_after_s=retry_after_s)


def relay_error_answer(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the answer to a call that the leader did not answer."""
    return problem_answer(call, _describe(exc))


@singledispatch
def _describe(exc: Exception) -> Problem:
    return fault_problem()


@_describe.register
def _(exc: InvalidJobDocumentError) -> Problem:
    return Problem(
        status=422,
        title="invalid job",
        field=exc.field,
        detail=exc.detail,
        outcome=NOT_RUN,
    )


@_describe.register
def _(exc: KeyRefusedError) -> Problem:
    return Problem(
        status=401,
        title="key not accepted",
        field="Authorization",
        detail="send a customer's key as 'Authorization: Bearer KEY'",
        outcome=NOT_RUN,
    )


@_describe.register
def _(exc: NoQueueError) -> Problem:
    return Problem(status=404, title="no such queue", detail=str(exc), outcome=NOT_RUN)


@_describe.register
def _(exc: NoJobError) -> Problem:
    return Problem(status=404, title="no such job", detail=str(exc))


@_describe.register(JobRefusedError)
@_describe.register(NotLeadingError)
@_describe.register(NoPlanError)
@_describe.register(RelayError)
def _(exc: Exception) -> Problem:
    return not_run_problem(exc)


@_describe.register(CommandOutcomeUnknownError)
@_describe.register(CallOutcomeUnknownError)
def _(exc: Exception) -> Problem:
    return unknown_outcome_problem(exc, _RESEND_ADVICE)
