"""Conversion of the outcome of a write to a response."""

from functools import singledispatch

from starlette.responses import Response

from ..fleet import Accepted, ClaimTaken, Conflict, Invalid, NotAdmitted, Outcome
from ..http import Problem, problem_response

__all__ = ["outcome_problem"]


@singledispatch
def outcome_problem(outcome: Outcome) -> Response | None:
    """Return the response to a rejected write, or None if it was accepted."""
    raise TypeError(f"not an outcome of a write: {type(outcome).__name__}")


@outcome_problem.register
def _(outcome: Accepted) -> Response | None:
    return None


@outcome_problem.register
def _(outcome: Conflict) -> Response | None:
    if outcome.version:
        detail = f"the current version is {outcome.version}; read it and write again"
    else:
        detail = "there is no such resource"
    problem = Problem(
        status=412,
        title="someone else wrote first",
        detail=detail,
        field="If-Match",
        version=outcome.version,
    )
    headers = {"ETag": f'"{outcome.version}"'} if outcome.version else {}
    return problem_response(problem, headers=headers)


@outcome_problem.register
def _(outcome: Invalid) -> Response | None:
    field = "Idempotency-Key" if outcome.field == "operation_id" else outcome.field
    problem = Problem(status=422, title="invalid", detail=outcome.reason, field=field)
    return problem_response(problem)


@outcome_problem.register
def _(outcome: NotAdmitted) -> Response | None:
    problem = Problem(status=409, title="not admitted now", detail=outcome.reason)
    return problem_response(problem)


@outcome_problem.register
def _(outcome: ClaimTaken) -> Response | None:
    return problem_response(Problem(status=409, title="claimed already"))
