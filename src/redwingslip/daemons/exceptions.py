"""Errors of the daemons."""

from ..exceptions import RedwingslipError
from ..peers import PermitRefusal

__all__ = [
    "AnswerUnknownError",
    "DaemonError",
    "NoLeaderKnownError",
    "PermitRefusedError",
    "StalePermitError",
]


class DaemonError(RedwingslipError):
    """Base of the daemons' errors."""


class PermitRefusedError(DaemonError):
    """The dispatcher gives no permit; `refusal` says why."""

    def __init__(self, refusal: PermitRefusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class StalePermitError(DaemonError):
    """A permit can't be used any more; nothing was sent."""


class NoLeaderKnownError(DaemonError):
    """No leader took a call; it had no effect."""


class AnswerUnknownError(DaemonError):
    """A leader may have taken a call, and no answer came."""
