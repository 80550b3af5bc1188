"""The leader's scheduling of jobs, VMs and waves; I/O goes through interfaces."""

from ._advice import Advice, AdviceCache, AdviceSettings, Adviser
from ._agent import AgentListener, VmAgent
from ._agent_settings import AgentSettings, VmPolicy
from ._evacuation_calls import EvacuationCalls, EvacuationStatus
from ._job_memory import JobMemory
from ._machines import MachineRegistry
from ._moves import MoveManager
from ._ports import (
    HoldReport,
    ListedEnd,
    ListedRun,
    MachineOperations,
    MachineOutcome,
    MachineState,
    MachineView,
    StartOutcome,
    StartResult,
    VmOrders,
)
from ._refusals import JobGate
from ._scheduler import Scheduler
from ._service import JobService
from ._settings import (
    EvacuationSettings,
    LeaderPolicy,
    MoveSettings,
    SchedulingSettings,
    WaveSettings,
)
from ._term import Term
from ._vm_admission import VmAdmission
from ._vm_statuses import VmStatus
from ._waves import WaveManager
from .exceptions import (
    CommandOutcomeUnknownError,
    FutureStartError,
    JobRefusedError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    NotLeadingError,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    SchedulingError,
    UnknownDataCentreError,
    UnknownPoolError,
    VmAtWorkError,
    VmReplacedError,
    VmUnansweredError,
    VmUnconfirmedError,
)

__all__ = [
    "Advice",
    "AdviceCache",
    "AdviceSettings",
    "Adviser",
    "AgentListener",
    "AgentSettings",
    "CommandOutcomeUnknownError",
    "EvacuationCalls",
    "EvacuationSettings",
    "EvacuationStatus",
    "FutureStartError",
    "HoldReport",
    "JobGate",
    "JobMemory",
    "JobRefusedError",
    "JobService",
    "KeyRefusedError",
    "LeaderPolicy",
    "ListedEnd",
    "ListedRun",
    "MachineOperations",
    "MachineOutcome",
    "MachineRegistry",
    "MachineState",
    "MachineView",
    "MoveManager",
    "MoveSettings",
    "NoPlanError",
    "NoQueueError",
    "NotLeadingError",
    "OrderNotSentError",
    "OrderOutcomeUnknownError",
    "Scheduler",
    "SchedulingError",
    "SchedulingSettings",
    "StartOutcome",
    "StartResult",
    "Term",
    "UnknownDataCentreError",
    "UnknownPoolError",
    "VmAdmission",
    "VmAgent",
    "VmAtWorkError",
    "VmOrders",
    "VmPolicy",
    "VmReplacedError",
    "VmStatus",
    "VmUnansweredError",
    "VmUnconfirmedError",
    "WaveManager",
    "WaveSettings",
]
