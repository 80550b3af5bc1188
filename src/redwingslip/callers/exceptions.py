"""Errors that are reported to a caller instead of an answer."""

from datetime import timedelta

from ..exceptions import RedwingslipError

__all__ = [
    "BadRequestError",
    "ForbiddenError",
    "NotRunError",
    "OutcomeUnknownError",
    "RequestError",
    "UnauthorizedError",
    "UnknownQueueError",
]


class RequestError(RedwingslipError):
    """A request failed without an answer.

    Parameters
    ----------
    detail : str
        What happened, and what the caller can do.
    title : str
        Summary of the problem type, the same for each problem of that type.
    retry_after : timedelta or None
        How long to wait before a retry can succeed.

    Attributes
    ----------
    status : int
        The HTTP status code.
    may_have_run : bool
        False only if it is certain that the work did not run.
    """

    status = 500
    may_have_run = False
    title = "request failed"

    def __init__(
        self,
        detail: str,
        *,
        title: str | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.title = title or type(self).title
        self.retry_after = retry_after


class BadRequestError(RequestError):
    """The request is malformed, or can never run."""

    status = 400
    title = "bad request"


class UnauthorizedError(RequestError):
    """The request has no key, or its key is not valid."""

    status = 401
    title = "key not accepted"


class ForbiddenError(RequestError):
    """The team of the key is not allowed to do this."""

    status = 403
    title = "not allowed"


class UnknownQueueError(RequestError):
    """The queue does not exist."""

    status = 404
    title = "no such queue"


class NotRunError(RequestError):
    """The work did not run; a retry is safe."""

    status = 503
    title = "not run"


class OutcomeUnknownError(RequestError):
    """The work may have run, but no complete answer arrived."""

    status = 504
    title = "outcome unknown"
    may_have_run = True
