"""Submitters: the product's own HTTP interface for submitting jobs."""

from ._calls import answer_submitter, find_earlier_answer, rules_out_earlier
from ._problems import error_answer, relay_error_answer
from ._server import submitter_app
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = [
    "InvalidJobDocumentError",
    "NoJobError",
    "SubmitterError",
    "answer_submitter",
    "error_answer",
    "find_earlier_answer",
    "relay_error_answer",
    "rules_out_earlier",
    "submitter_app",
]
