"""Answers to relayed calls, and their form in HTTP."""

import msgspec
from starlette.responses import Response

from ..http import NOT_RUN, PROBLEM_TYPE, UNKNOWN, Problem
from ..peers import RelayedAnswer, RelayedCall
from ._http import retry_headers

__all__ = [
    "RETRY_AFTER_S",
    "answer_response",
    "document_answer",
    "fault_problem",
    "final_answer",
    "not_run_problem",
    "problem_answer",
    "unknown_outcome_problem",
]

# The shortest time that Retry-After can express; an election takes less.
RETRY_AFTER_S = 1

JSON_TYPE = "application/json"
FIRST_ERROR_STATUS = 400
UNAVAILABLE_STATUS = 503


def document_answer(
    call: RelayedCall, document: msgspec.Struct, *, status: int = 200
) -> RelayedAnswer:
    """Return an answer with a JSON document as its body."""
    return RelayedAnswer(
        number=call.number, status=status, body=msgspec.json.encode(document)
    )


def final_answer(answer: RelayedAnswer) -> RelayedAnswer:
    """Return an answer that holds for each attempt of its call."""
    return msgspec.structs.replace(answer, is_final=True)


def problem_answer(
    call: RelayedCall, problem: Problem, *, retry_after_s: int = RETRY_AFTER_S
) -> RelayedAnswer:
    """Return an answer with a problem document as its body.

    Parameters
    ----------
    call : RelayedCall
        The call that is answered.
    problem : Problem
        The problem, with the status of the answer.
    retry_after_s : int
        Seconds after which to call again, used with the status 503 only.
    """
    return RelayedAnswer(
        number=call.number,
        status=problem.status,
        body=msgspec.json.encode(problem),
        retry_after_s=retry_after_s if problem.status == UNAVAILABLE_STATUS else 0,
    )


def fault_problem() -> Problem:
    """Return the problem of a call that met a fault of the server."""
    return Problem(status=500, title="fault of the server", outcome=UNKNOWN)


def not_run_problem(exc: Exception) -> Problem:
    """Return the problem of a call that did not run and may be repeated."""
    return Problem(
        status=UNAVAILABLE_STATUS, title="not run", detail=str(exc), outcome=NOT_RUN
    )


def unknown_outcome_problem(exc: Exception, advice: str) -> Problem:
    """Return the problem of a call that may have run, with advice to the client."""
    detail = f"{exc}; {advice}"
    return Problem(status=504, title="outcome unknown", detail=detail, outcome=UNKNOWN)


def answer_response(answer: RelayedAnswer) -> Response:
    """Return an answer with a document or a problem as an HTTP response."""
    is_problem = answer.status >= FIRST_ERROR_STATUS
    return Response(
        answer.body,
        status_code=answer.status,
        headers=retry_headers(answer),
        media_type=PROBLEM_TYPE if is_problem else JSON_TYPE,
    )
