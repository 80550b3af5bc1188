"""Dispatch: the order of a pool's queues, its slots and its permits."""

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
