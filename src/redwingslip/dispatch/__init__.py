"""Dispatch: orders a pool's waiting requests and grants permits for its slots."""

from ._dispatcher import Dispatcher
from ._outputs import Emitted, Granted, Output, Proposed, Refused, ToLeader
from ._settings import DispatchSettings, PolicyName

__all__ = [
    "DispatchSettings",
    "Dispatcher",
    "Emitted",
    "Granted",
    "Output",
    "PolicyName",
    "Proposed",
    "Refused",
    "ToLeader",
]
