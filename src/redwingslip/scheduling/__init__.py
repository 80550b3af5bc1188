"""Scheduling: the leader's work with jobs, VMs and waves, over ports to the outside."""

from ._advice import Advice, AdviceBook, AdviceSettings, Adviser
from ._agent import AgentListener, VmAgent
from ._agent_settings import AgentSettings, VmPolicy
from ._machines import MachineBook
from ._moves import MoveKeeper
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
from ._scheduler import Scheduler
from ._service import JobService
from ._settings import (
    LeaderPolicy,
    MoveSettings,
    SchedulingSettings,
    WaveSettings,
)
from ._term import Term
from ._waves import WaveKeeper
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
    "AgentListener",
    "AgentSettings",
    "CommandLostError",
    "HoldReport",
    "JobService",
    "KeyRefusedError",
    "LeaderPolicy",
    "ListedEnd",
    "ListedRun",
    "MachineBook",
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
    "Term",
    "VmAgent",
    "VmOperations",
    "VmOrders",
    "VmPolicy",
    "VmReplacedError",
    "WaveKeeper",
    "WaveSettings",
]
