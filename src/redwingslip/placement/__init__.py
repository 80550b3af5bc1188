"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._arrivals import ArrivalSettings, ArrivalTrend
from ._cycles import CycleModel, RisePrediction
from ._forecast import DemandForecast, PoolForecast
from ._forecast_settings import ForecastSettings
from ._placer import Placer
from ._pool_load import Move, PoolLoad, SizingSettings
from ._reserves import ForecastLoad, with_reserves
from ._rises import Rise, RiseTracker
from ._sizing import plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, keeps_budget

__all__ = [
    "ArrivalSettings",
    "ArrivalTrend",
    "CandidateVm",
    "CycleModel",
    "DemandForecast",
    "ForecastLoad",
    "ForecastSettings",
    "Move",
    "Placer",
    "PoolForecast",
    "PoolLoad",
    "Rise",
    "RisePrediction",
    "RiseTracker",
    "SizingSettings",
    "Urgency",
    "WaitingTask",
    "is_allowed",
    "keeps_budget",
    "plan_moves",
    "with_reserves",
]
