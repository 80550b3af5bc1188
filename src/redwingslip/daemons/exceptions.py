"""Errors of the daemons."""

from ..exceptions import RedwingslipError

__all__ = ["DaemonError", "StartError"]


class DaemonError(RedwingslipError):
    """Base of the daemons' errors."""


class StartError(DaemonError):
    """A daemon can't start; the message names the cause."""
