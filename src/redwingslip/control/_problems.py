"""Problem documents for calls that the leader refused or did not answer."""

from functools import singledispatch

from ..http import NOT_RUN, Problem
from ..peers import RelayedAnswer, RelayedCall
from ..relay import (
    CallOutcomeUnknownError,
    RelayError,
    fault_problem,
    not_run_problem,
    problem_answer,
    unknown_outcome_problem,
)
from ..scheduling import (
    CommandOutcomeUnknownError,
    NotLeadingError,
    UnknownDataCentreError,
)

__all__ = ["error_answer", "relay_error_answer"]


def error_answer(call: RelayedCall, exc: Exception) -> RelayedAnswer:
    """Return the leader's answer to a call that failed."""
    return problem_answer(call, _describe(exc))


def relay_error_answer(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the answer to a call that the leader did not answer."""
    return problem_answer(call, _describe(exc))


@singledispatch
def _describe(exc: Exception) -> Problem:
    return fault_problem()


@_describe.register
def _(exc: UnknownDataCentreError) -> Problem:
    return Problem(
        status=404, title="no such data centre", detail=str(exc), outcome=NOT_RUN
    )


@_describe.register(NotLeadingError)
@_describe.register(RelayError)
def _(exc: Exception) -> Problem:
    return not_run_problem(exc)


@_describe.register(CommandOutcomeUnknownError)
@_describe.register(CallOutcomeUnknownError)
def _(exc: Exception) -> Problem:
    # The call may be repeated, since a second one changes nothing.
    return unknown_outcome_problem(exc, "send it again")
