"""Placement: which waiting task starts on which VM, as a function without I/O."""

from ._placer import Placer
from ._sizing import Move, PoolLoad, SizingSettings, plan_moves
from ._view import PoolRoom, Urgency, VmRoom, WaitingTask

__all__ = [
    "Move",
    "Placer",
    "PoolLoad",
    "PoolRoom",
    "SizingSettings",
    "Urgency",
    "VmRoom",
    "WaitingTask",
    "plan_moves",
]
