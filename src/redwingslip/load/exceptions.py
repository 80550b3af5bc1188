"""Errors of the load generator."""

from ..exceptions import RedwingslipError

__all__ = ["LoadError"]


class LoadError(RedwingslipError):
    """A load can't be run, or its report can't be made."""
