"""Submitters: the product's own HTTP interface for submitting jobs."""

from ._calls import answer_submitter
from ._problems import error_answer, relay_error_answer
from ._server import submitter_app
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = [
    "InvalidJobDocumentError",
    "NoJobError",
    "SubmitterError",
    "answer_submitter",
    "error_answer",
    "relay_error_answer",
    "submitter_app",
]
