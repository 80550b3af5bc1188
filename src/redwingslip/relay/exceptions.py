"""Errors of calls on their way to the leader."""

from ..exceptions import RedwingslipError

__all__ = ["CallOutcomeUnknownError", "NoLeaderKnownError", "RelayError"]


class RelayError(RedwingslipError):
    """A call was not answered by the leader."""


class NoLeaderKnownError(RelayError):
    """No leader took a call; it had no effect."""


class CallOutcomeUnknownError(RelayError):
    """A leader may have taken a call, and no answer came."""
