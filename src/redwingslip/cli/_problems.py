"""Converting a server's problem document to an error for the operator."""

import msgspec

from ._exchange import HttpAnswer
from .exceptions import (
    CommandError,
    ConflictError,
    InvalidInputError,
    NotAdmittedError,
    NotFoundError,
    RefusedError,
    TooOldError,
    UnauthorizedError,
)

__all__ = ["error_from_answer"]

_ERROR_TYPES: dict[int, type[CommandError]] = {
    400: InvalidInputError,
    401: UnauthorizedError,
    403: UnauthorizedError,
    404: NotFoundError,
    409: NotAdmittedError,
    410: TooOldError,
    412: ConflictError,
    413: InvalidInputError,
    422: InvalidInputError,
}


class _ProblemDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The members of a problem document that are shown to the operator."""

    title: str = "refused"
    detail: str = ""
    field: str = ""


def error_from_answer(answer: HttpAnswer) -> CommandError:
    """Return the error for an answer's status and problem document."""
    try:
        problem = msgspec.json.decode(answer.body, type=_ProblemDocument)
    except msgspec.DecodeError:
        problem = _ProblemDocument(detail=f"status {answer.status}")
    message = problem.title
    if problem.field:
        message += f" ({problem.field})"
    if problem.detail:
        message += f": {problem.detail}"
    return _ERROR_TYPES.get(answer.status, RefusedError)(message)
