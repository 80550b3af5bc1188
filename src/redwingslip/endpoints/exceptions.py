"""Errors of announcements and calls.

The class of a failed call tells whether the work may have run.
"""

from ..exceptions import RedwingslipError

__all__ = [
    "AnnouncementError",
    "EndpointError",
    "EndpointOutcomeUnknownError",
    "EndpointRefusedError",
    "EndpointUnreachableError",
]


class AnnouncementError(RedwingslipError):
    """An endpoint's announcement can't be accepted; the message says why."""


class EndpointError(RedwingslipError):
    """A call ended without a complete answer."""


class EndpointUnreachableError(EndpointError):
    """Nothing of the request was sent: the work did not run."""


class EndpointRefusedError(EndpointError):
    """The endpoint refused the call before running it: the work did not run."""


class EndpointOutcomeUnknownError(EndpointError):
    """The request was sent and no complete answer arrived: the work may have run."""
