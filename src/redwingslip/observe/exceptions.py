"""Errors of the observe package."""

from ..exceptions import RedwingslipError

__all__ = ["TimelineError"]


class TimelineError(RedwingslipError):
    """A time line can't be read or drawn; the message gives the reason."""
