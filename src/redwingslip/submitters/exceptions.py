"""Errors of the submitters' interface."""

from ..exceptions import RedwingslipError

__all__ = ["InvalidJobDocumentError", "NoJobError", "SubmitterError"]


class SubmitterError(RedwingslipError):
    """A submitter's call can't be served."""


class InvalidJobDocumentError(SubmitterError):
    """A job can't be read or contradicts itself; `field` names the part at fault."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


class NoJobError(SubmitterError):
    """There is no such job, or it is another customer's."""
