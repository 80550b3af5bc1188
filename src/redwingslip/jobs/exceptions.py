"""Exceptions of jobs and plans."""

from ..exceptions import RedwingslipError

__all__ = ["InvalidCommandError", "InvalidJobError", "InvalidPlanError", "JobsError"]


class JobsError(RedwingslipError):
    """Base class of errors in a job or in the plan that it runs under."""


class InvalidCommandError(JobsError):
    """A command can't be applied by the replicas, and must not enter the log."""


class _FieldError(JobsError):
    """A document is inconsistent.

    Attributes
    ----------
    field : str
        The invalid part of the document.
    detail : str
        What is wrong with it.
    """

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


class InvalidJobError(_FieldError):
    """A job is inconsistent."""


class InvalidPlanError(_FieldError):
    """A plan is inconsistent."""
