"""What a caller can be told instead of an answer."""

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
    """A request has no answer.

    Parameters
    ----------
    detail : str
        What happened and what to do.
    title : str
        The kind of problem, the same for each of its kind.
    retry_after : timedelta or None
        When trying again helps.

    Attributes
    ----------
    status : int
        The HTTP status.
    has_run : bool
        False only when the work surely did not run.
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
    """The request is malformed or can never run."""

    status = 400
    title = "bad request"


class UnauthorizedError(RequestError):
    """No key came with the request, or it is not valid."""

    status = 401
    title = "key not accepted"


class ForbiddenError(RequestError):
    """The key's team may not do this."""

    status = 403
    title = "not allowed"


class UnknownQueueError(RequestError):
    """There is no such queue."""

    status = 404
    title = "no such queue"


class NotRunError(RequestError):
    """The work was not run; trying again is safe."""

    status = 503
    title = "not run"


class OutcomeUnknownError(RequestError):
    """The work may have run; no whole answer arrived."""

    status = 504
    title = "outcome unknown"
    may_have_run = True
