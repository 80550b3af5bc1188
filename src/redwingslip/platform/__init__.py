"""Platform: the one place that knows the names and formats of the users' platform."""

from ._advice import AdviceClient
from ._answers import refusal, unanswered
from ._calls import answer_call
from ._machines import MachineClient
from ._orders import WorkerOrders
from ._servers import readiness_app, relay_app
from .exceptions import DocumentError

__all__ = [
    "AdviceClient",
    "DocumentError",
    "MachineClient",
    "WorkerOrders",
    "answer_call",
    "readiness_app",
    "refusal",
    "relay_app",
    "unanswered",
]
