"""Scheduling: the leader's work with jobs, VMs and waves, over ports to the outside."""

from ._advice import Advice, AdviceBook, Adviser, AdviceSettings
from ._agent import AgentSettings, VmAgent
from ._moves import MoveKeeper, MoveSettings
from ._ports import (
    HoldReport,
    ListedEnd,
    ListedRun,
    MachineOutcome,
    MachineState,
    MachineView,
    StartOutcome,
    StartResult,
    VmOperations,
    VmOrders,
)
from ._scheduler import Scheduler, SchedulingSettings
from ._service import JobService
from ._waves import WaveKeeper, WaveSettings
from .exceptions import (
    CommandLostError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    NotLeadingError,
    OrderLostError,
    OrderNotSentError,
    SchedulingError,
    VmReplacedError,
)

__all__ = [
    "Advice",
    "AdviceBook",
    "AdviceSettings",
    "Adviser",
    "AgentSettings",
    "CommandLostError",
    "HoldReport",
    "JobService",
    "KeyRefusedError",
    "ListedEnd",
    "ListedRun",
    "MachineOutcome",
    "MachineState",
    "MachineView",
    "MoveKeeper",
    "MoveSettings",
    "NoPlanError",
    "NoQueueError",
    "NotLeadingError",
    "OrderLostError",
    "OrderNotSentError",
    "Scheduler",
    "SchedulingError",
    "SchedulingSettings",
    "StartOutcome",
    "StartResult",
    "VmAgent",
    "VmOperations",
    "VmOrders",
    "VmReplacedError",
    "WaveKeeper",
    "WaveSettings",
]
