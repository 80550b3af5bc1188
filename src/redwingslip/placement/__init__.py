"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._arrivals import ArrivalSettings, ArrivalTrend
from ._locality import (
    LocalitySettings,
    RackWait,
    RunEstimate,
    TaskTimes,
)
from ._placer import Placer
from ._rack_room import Release, VmRoom, remaining_ms
from ._rack_waits import RackOutlook, RackWaits
from ._sizing import Move, PoolLoad, SizingSettings, plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, is_far, keeps_budget

__all__ = [
    "ArrivalSettings",
    "ArrivalTrend",
    "CandidateVm",
    "LocalitySettings",
    "Move",
    "Placer",
    "PoolLoad",
    "RackOutlook",
    "RackWait",
    "RackWaits",
    "Release",
    "RunEstimate",
    "SizingSettings",
    "TaskTimes",
    "Urgency",
    "VmRoom",
    "WaitingTask",
    "is_allowed",
    "is_far",
    "keeps_budget",
    "plan_moves",
    "remaining_ms",
]
