"""Errors of the operators' interface."""

from ..exceptions import RedwingslipError

__all__ = ["NoLeaderError", "OperatorError"]


class OperatorError(RedwingslipError):
    """An operator's request can't be carried out; the message says why."""


class NoLeaderError(OperatorError):
    """No leader confirmed the change in time; it may still be applied."""
