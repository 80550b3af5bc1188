"""Errors of the daemons."""

from ..exceptions import RedwingslipError
from ..peers import PermitRefusal

__all__ = ["DaemonError", "PermitRefusedError", "StalePermitError"]


class DaemonError(RedwingslipError):
    """Base of the daemons' errors."""


class PermitRefusedError(DaemonError):
    """The dispatcher refused a permit; `refusal` contains the reason."""

    def __init__(self, refusal: PermitRefusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class StalePermitError(DaemonError):
    """A permit can no longer be used; nothing was sent to the endpoint."""
