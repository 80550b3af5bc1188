"""Submitters: the product's own HTTP interface for those who hand in jobs."""

from ._calls import answer_submitter
from ._problems import refusal, unanswered
from ._server import submitter_app
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = [
    "InvalidJobDocumentError",
    "NoJobError",
    "SubmitterError",
    "answer_submitter",
    "refusal",
    "submitter_app",
    "unanswered",
]
