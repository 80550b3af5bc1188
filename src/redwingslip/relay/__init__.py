"""Relay: forwards external calls to the replica that leads."""

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
    "RelayBusyError",
    "RelayError",
    "RelaySettings",
    "decode_call",
    "retry_headers",
]
