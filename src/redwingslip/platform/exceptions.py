"""Errors of the users' platform."""

from ..exceptions import RedwingslipError

__all__ = ["DocumentError"]


class DocumentError(RedwingslipError):
    """A document of the platform's can't be read or contradicts itself."""
