"""Replicated state of jobs, of the plan that they run under and of their VMs.

A job is a durable graph of tasks. This package does no I/O and reads no clock: each
command carries the time at which it was proposed.
"""

from ._active_runs import ActiveRun
from ._commands import *  # noqa: F403
from ._commands import __all__ as _commands_all
from ._crashes import PROBATION_MS, is_isolated, is_quarantined
from ._evacuations import Evacuations
from ._machine import JobsMachine, encode_command
from ._plan import (
    NO_AMOUNTS,
    Amounts,
    Customer,
    Plan,
    Pool,
    Queue,
    check_plan,
    find_plan_errors,
)
from ._records import (
    ACTIVE_STATUSES,
    EndKind,
    JobRecord,
    JobStatus,
    RunRecord,
    SilentVm,
    TaskRecord,
    VmRecord,
    WaveRecord,
    iter_tasks,
)
from ._size import SMALL_JOB_BYTES, JobSizes, job_bytes
from ._spec import MAX_TASKS, JobSpec, Repetition, StepSpec, TaskKey, check_steps
from ._state import JobsState, VmChange
from .exceptions import (
    InvalidCommandError,
    InvalidJobError,
    InvalidPlanError,
    JobsError,
)

__all__ = [
    "ACTIVE_STATUSES",
    "MAX_TASKS",
    "NO_AMOUNTS",
    "ActiveRun",
    "Amounts",
    "Customer",
    "EndKind",
    "Evacuations",
    "InvalidCommandError",
    "InvalidJobError",
    "InvalidPlanError",
    "JobRecord",
    "JobSizes",
    "JobSpec",
    "JobStatus",
    "JobsError",
    "JobsMachine",
    "JobsState",
    "PROBATION_MS",
    "Plan",
    "Pool",
    "Queue",
    "Repetition",
    "RunRecord",
    "SMALL_JOB_BYTES",
    "SilentVm",
    "StepSpec",
    "TaskKey",
    "TaskRecord",
    "VmChange",
    "VmRecord",
    "WaveRecord",
    "check_plan",
    "find_plan_errors",
    "check_steps",
    "encode_command",
    "is_isolated",
    "is_quarantined",
    "iter_tasks",
    "job_bytes",
    *_commands_all,
]
