"""Errors of the submitters' interface."""

from ..exceptions import RedwingslipError

__all__ = ["InvalidJobDocumentError", "NoJobError", "SubmitterError"]


class SubmitterError(RedwingslipError):
    """A submitter's call was rejected."""


class InvalidJobDocumentError(SubmitterError):
    """A job document is invalid; `field` names the field at fault."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


class NoJobError(SubmitterError):
    """The job does not exist, or belongs to another customer or queue."""
