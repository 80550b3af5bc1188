"""Errors of the links between processes."""

from ..exceptions import RedwingslipError

__all__ = ["LinkError"]


class LinkError(RedwingslipError):
    """A link could not be opened or has failed; the message says why."""
