"""Placement of waiting tasks on VMs and sizing of pools, as functions without I/O."""

from ._admission import PoolOutlook, Refusal, spread_retry
from ._admission_settings import AdmissionSettings
from ._arrivals import ArrivalSettings, ArrivalTrend
from ._capacity import CapacityPlan, divide_by_weight
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
from ._sizing import Move, PoolLoad, SizingSettings, plan_moves
from ._view import CandidateVm, Urgency, WaitingTask, is_allowed, keeps_budget

__all__ = [
    "N_RECENT_JOBS",
    "AdmissionSettings",
    "ArrivalSettings",
    "ArrivalTrend",
    "CandidateVm",
    "CapacityPlan",
    "CompetingJob",
    "JobOrder",
    "JobWork",
    "LargeJobBudget",
    "Move",
    "Placer",
    "PoolLoad",
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
    "spread_retry",
]
