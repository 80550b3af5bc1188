"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._arrivals import ArrivalSettings, ArrivalTrend
from ._placer import Placer
from ._sizing import Move, PoolLoad, SizingSettings, plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, keeps_budget

__all__ = [
    "ArrivalSettings",
    "ArrivalTrend",
    "CandidateVm",
    "Move",
    "Placer",
    "PoolLoad",
    "SizingSettings",
    "Urgency",
    "WaitingTask",
    "is_allowed",
    "keeps_budget",
    "plan_moves",
]
