"""Errors of the HTTP layer."""

from ..exceptions import RedwingslipError

__all__ = [
    "AnswerLostError",
    "BodyRefusedError",
    "BodyTooLargeError",
    "HttpError",
    "NotConnectedError",
    "WrongPeerError",
]


class HttpError(RedwingslipError):
    """An exchange over HTTP failed."""


class NotConnectedError(HttpError):
    """No connection could be made: nothing of the request was sent."""


class WrongPeerError(HttpError):
    """Another process answers at the address: nothing of the request was sent."""


class AnswerLostError(HttpError):
    """The request was sent, at least in part, and no complete answer arrived."""


class BodyTooLargeError(HttpError):
    """A request body is larger than the limit."""


class BodyRefusedError(HttpError):
    """A request body is not kept, because bodies use all memory set aside for them."""
