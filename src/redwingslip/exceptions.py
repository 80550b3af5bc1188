"""The base class of the library's errors."""

__all__ = ["RedwingslipError"]


class RedwingslipError(Exception):
    """Base class of all errors that this library raises."""
