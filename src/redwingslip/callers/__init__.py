"""The HTTP interface for callers: keys, requests and their answers."""

from ._keys import (
    authenticate,
    bearer_token,
    has_known_token,
    hash_secret,
    make_secret,
    parse_key,
    secret_matches,
)
from ._requests import Answer, RequestRunner, Submission, WaitingAnswer
from ._results import ResultLimits, ResultStore
from ._routes import CallerInterface, caller_routes
from .exceptions import (
    BadRequestError,
    ForbiddenError,
    NotRunError,
    OutcomeUnknownError,
    RequestError,
    UnauthorizedError,
    UnknownQueueError,
)

__all__ = [
    "Answer",
    "BadRequestError",
    "CallerInterface",
    "ForbiddenError",
    "NotRunError",
    "OutcomeUnknownError",
    "RequestError",
    "RequestRunner",
    "ResultLimits",
    "ResultStore",
    "Submission",
    "UnauthorizedError",
    "UnknownQueueError",
    "WaitingAnswer",
    "authenticate",
    "bearer_token",
    "caller_routes",
    "has_known_token",
    "hash_secret",
    "make_secret",
    "parse_key",
    "secret_matches",
]
