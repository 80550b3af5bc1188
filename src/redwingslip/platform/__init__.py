"""Platform: the one place that knows the names and formats of the platform."""

from ._advice import AdviceClient
from ._calls import answer_call
from ._client import PlatformClient, PlatformSettings, VmPower, VmState
from ._machines import MachineClient
from ._orders import WorkerOrders
from ._servers import caller_app, control_app, readiness_app
from .exceptions import (
    DocumentError,
    PlatformError,
    PlatformRefusedError,
    PlatformUnavailableError,
)

__all__ = [
    "AdviceClient",
    "DocumentError",
    "MachineClient",
    "PlatformClient",
    "PlatformError",
    "PlatformRefusedError",
    "PlatformSettings",
    "PlatformUnavailableError",
    "VmPower",
    "VmState",
    "WorkerOrders",
    "answer_call",
    "caller_app",
    "control_app",
    "readiness_app",
]
