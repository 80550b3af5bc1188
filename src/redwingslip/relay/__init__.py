"""Relay: forwards external calls to the replica that leads."""

from ._http import Exchange, decode_call, retry_headers
from ._relay import LeaderRelay
from ._settings import RelaySettings
from .exceptions import CallOutcomeUnknownError, NoLeaderKnownError, RelayError

__all__ = [
    "CallOutcomeUnknownError",
    "Exchange",
    "LeaderRelay",
    "NoLeaderKnownError",
    "RelayError",
    "RelaySettings",
    "decode_call",
    "retry_headers",
]
