"""Errors of the interfaces to the users' platform."""

from ..exceptions import RedwingslipError

__all__ = ["DocumentError"]


class DocumentError(RedwingslipError):
    """A document of the platform can't be decoded or is inconsistent."""
