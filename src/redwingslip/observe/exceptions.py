"""Errors of observing."""

from ..exceptions import RedwingslipError

__all__ = ["TimelineError"]


class TimelineError(RedwingslipError):
    """A time line can't be read or drawn; the message says why."""
