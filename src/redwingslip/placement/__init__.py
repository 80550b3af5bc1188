"""Placement: which waiting task starts on which VM, as a function without I/O."""

from ._arrivals import ArrivalSettings, ArrivalTrend
from ._placer import Placer
from ._sizing import Move, PoolLoad, SizingSettings, plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed

__all__ = [
    "ArrivalSettings",
    "ArrivalTrend",
    "Move",
    "Placer",
    "PoolLoad",
    "SizingSettings",
    "Urgency",
    "CandidateVm",
    "WaitingTask",
    "is_allowed",
    "plan_moves",
]
