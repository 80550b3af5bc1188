"""Errors of the jobs."""

from ..exceptions import RedwingslipError

__all__ = ["InvalidJobError", "InvalidPlanError", "JobsError"]


class JobsError(RedwingslipError):
    """Something is wrong with a job or with the plan that it runs under."""


class _FieldError(JobsError):
    """Something contradicts itself; `field` names the part at fault."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


class InvalidJobError(_FieldError):
    """A job contradicts itself."""


class InvalidPlanError(_FieldError):
    """A plan contradicts itself."""
