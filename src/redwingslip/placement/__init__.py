"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._admission import PoolOutlook, Refusal, spread_retry
from ._admission_settings import AdmissionSettings
from ._arrivals import ArrivalSettings, ArrivalTrend
from ._capacity import CapacityPlan, divide_by_weight
from ._cycles import CycleModel, RisePrediction
from ._demand_profile import BidPrice, DemandProfile
from ._forecast import DemandForecast, PoolForecast
from ._forecast_settings import ForecastSettings
from ._job_work import (
    N_RECENT_JOBS,
    JobWork,
    QueueWork,
    RunningTask,
    measure_steps,
    measure_work,
)
from ._locality import (
    LocalitySettings,
    RackWait,
    RunEstimate,
    TaskTimes,
)
from ._overload import CompetingJob, JobOrder, LargeJobBudget, order_jobs
from ._placer import Placer
from ._pool_load import Move, PoolLoad, SizingSettings
from ._rack_room import Release, VmRoom, remaining_ms
from ._rack_waits import RackOutlook, RackWaits
from ._reserves import ForecastLoad, with_reserves
from ._rises import Rise, RiseTracker
from ._sizing import plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, is_far, keeps_budget

__all__ = [
    "AdmissionSettings",
    "ArrivalSettings",
    "ArrivalTrend",
    "BidPrice",
    "CandidateVm",
    "CapacityPlan",
    "CompetingJob",
    "CycleModel",
    "DemandForecast",
    "DemandProfile",
    "ForecastLoad",
    "ForecastSettings",
    "JobOrder",
    "JobWork",
    "LargeJobBudget",
    "LocalitySettings",
    "Move",
    "N_RECENT_JOBS",
    "Placer",
    "PoolForecast",
    "PoolLoad",
    "PoolOutlook",
    "QueueWork",
    "RackOutlook",
    "RackWait",
    "RackWaits",
    "Refusal",
    "Release",
    "Rise",
    "RisePrediction",
    "RiseTracker",
    "RunEstimate",
    "RunningTask",
    "SizingSettings",
    "TaskTimes",
    "Urgency",
    "VmRoom",
    "WaitingTask",
    "divide_by_weight",
    "is_allowed",
    "is_far",
    "keeps_budget",
    "measure_steps",
    "measure_work",
    "order_jobs",
    "plan_moves",
    "remaining_ms",
    "spread_retry",
    "with_reserves",
]
