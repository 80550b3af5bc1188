"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._admission import PoolOutlook, Refusal, spread_retry
from ._admission_settings import AdmissionSettings
from ._arrivals import ArrivalSettings, ArrivalTrend
from ._capacity import CapacityPlan, divide_by_weight
from ._cycles import CycleModel, RisePrediction
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
from ._overload import CompetingJob, JobOrder, LargeJobBudget, order_jobs
from ._placer import Placer
from ._pool_load import Move, PoolLoad, SizingSettings
from ._reserves import ForecastLoad, with_reserves
from ._rises import Rise, RiseTracker
from ._sizing import plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, keeps_budget

__all__ = [
    "N_RECENT_JOBS",
    "AdmissionSettings",
    "ArrivalSettings",
    "ArrivalTrend",
    "CandidateVm",
    "CycleModel",
    "DemandForecast",
    "ForecastLoad",
    "ForecastSettings",
    "CapacityPlan",
    "CompetingJob",
    "JobOrder",
    "JobWork",
    "LargeJobBudget",
    "Move",
    "Placer",
    "PoolForecast",
    "PoolLoad",
    "Rise",
    "RisePrediction",
    "RiseTracker",
    "PoolOutlook",
    "QueueWork",
    "Refusal",
    "RunningTask",
    "SizingSettings",
    "Urgency",
    "WaitingTask",
    "divide_by_weight",
    "is_allowed",
    "keeps_budget",
    "measure_steps",
    "measure_work",
    "order_jobs",
    "plan_moves",
    "with_reserves",
    "spread_retry",
]
