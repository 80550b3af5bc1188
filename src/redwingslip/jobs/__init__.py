"""Jobs: durable graphs of tasks, the plan they run under, and the VMs that run them.

Everything here is replicated state without I/O; times come with the commands.
"""

from ._commands import *  # noqa: F403
from ._commands import __all__ as _commands_all
from ._machine import JobsMachine, encode_command
from ._plan import NO_AMOUNTS, Amounts, Customer, Plan, Pool, Queue, check_plan
from ._records import (
    ACTIVE_STATUSES,
    EndKind,
    JobRecord,
    JobStatus,
    RunRecord,
    TaskRecord,
    VmRecord,
    WaveRecord,
)
from ._spec import JobSpec, Repetition, StepSpec, TaskKey, check_steps
from ._state import ActiveRun, JobsState, VmChange, iter_tasks
from .exceptions import InvalidJobError, InvalidPlanError, JobsError

__all__ = [
    "ACTIVE_STATUSES",
    "NO_AMOUNTS",
    "ActiveRun",
    "Amounts",
    "Customer",
    "EndKind",
    "InvalidJobError",
    "InvalidPlanError",
    "JobRecord",
    "JobSpec",
    "JobStatus",
    "JobsError",
    "JobsMachine",
    "JobsState",
    "Plan",
    "Pool",
    "Queue",
    "Repetition",
    "RunRecord",
    "StepSpec",
    "TaskKey",
    "TaskRecord",
    "VmChange",
    "VmRecord",
    "WaveRecord",
    "check_plan",
    "check_steps",
    "encode_command",
    "iter_tasks",
    *_commands_all,
]
