"""From a server's problem document to an error that says what to do."""

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

__all__ = ["error_of"]

_ERRORS: dict[int, type[CommandError]] = {
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
    """The members of a problem document that are shown."""

    title: str = "refused"
    detail: str = ""
    field: str = ""


def error_of(answer: HttpAnswer) -> CommandError:
    """Return the error that an answer's status and problem document tell."""
    try:
        problem = msgspec.json.decode(answer.body, type=_ProblemDocument)
    except msgspec.DecodeError:
        problem = _ProblemDocument(detail=f"status {answer.status}")
    words = problem.title
    if problem.field:
        words += f" ({problem.field})"
    if problem.detail:
        words += f": {problem.detail}"
    return _ERRORS.get(answer.status, RefusedError)(words)
