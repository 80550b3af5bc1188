"""Errors of calls that are relayed to the leader."""

from ..exceptions import RedwingslipError

__all__ = [
    "CallOutcomeUnknownError",
    "NoLeaderKnownError",
    "RelayBusyError",
    "RelayError",
]


class RelayError(RedwingslipError):
    """The leader did not answer a call."""


class NoLeaderKnownError(RelayError):
    """No leader accepted the call; it had no effect."""


class CallOutcomeUnknownError(RelayError):
    """A leader may have handled the call, but no answer was received."""


class RelayBusyError(RelayError):
    """There was no room for the body of a call; it had no effect."""
