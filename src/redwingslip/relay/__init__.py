"""Relay: the way of calls from outside to the leader, wherever it is."""

from ._relay import LeaderRelay
from ._settings import RelaySettings
from .exceptions import AnswerUnknownError, NoLeaderKnownError, RelayError

__all__ = [
    "AnswerUnknownError",
    "LeaderRelay",
    "NoLeaderKnownError",
    "RelayError",
    "RelaySettings",
]
