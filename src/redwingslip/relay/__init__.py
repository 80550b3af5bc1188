"""Relay: forwards external calls to the replica that leads."""

from ._answers import (
    RETRY_AFTER_S,
    answer_response,
    document_answer,
    fault_problem,
    final_answer,
    not_run_problem,
    problem_answer,
    unknown_outcome_problem,
)
from ._http import Exchange, decode_call, retry_headers
from ._relay import LeaderRelay
from ._settings import RelaySettings
from .exceptions import (
    CallOutcomeUnknownError,
    NoLeaderKnownError,
    RelayBusyError,
    RelayError,
)

__all__ = [
    "CallOutcomeUnknownError",
    "Exchange",
    "LeaderRelay",
    "NoLeaderKnownError",
    "RETRY_AFTER_S",
    "RelayBusyError",
    "RelayError",
    "RelaySettings",
    "answer_response",
    "decode_call",
    "document_answer",
    "fault_problem",
    "final_answer",
    "not_run_problem",
    "problem_answer",
    "retry_headers",
    "unknown_outcome_problem",
]
