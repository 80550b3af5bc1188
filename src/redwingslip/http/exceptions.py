"""Errors of the HTTP layer."""

from ..exceptions import RedwingslipError

__all__ = ["AnswerLostError", "BodyTooLargeError", "HttpError", "NotConnectedError"]


class HttpError(RedwingslipError):
    """An exchange over HTTP failed."""


class NotConnectedError(HttpError):
    """No connection came about: nothing of the request was sent."""


class AnswerLostError(HttpError):
    """The request was sent, in part at least, and no whole answer arrived."""


class BodyTooLargeError(HttpError):
    """A body is longer than the setting allows."""
