"""Errors that the whole library shares."""

__all__ = ["RedwingslipError"]


class RedwingslipError(Exception):
    """Base of every error that this library raises."""
