"""Platform: clients and servers of the users' platform, with its names and formats.

No other package knows these names and formats. The platform's routes are the product's
queues, its services pools, its tenants customers, its workers or instances VMs, and its
upkeep is maintenance.
"""

from ._advice import AdviceClient
from ._answers import error_answer, relay_error_answer
from ._calls import answer_call, find_earlier_answer, rules_out_earlier
from ._documents import PLAN_SECTIONS, parse_plan
from ._machines import MachineClient
from ._orders import WorkerClient
from ._servers import readiness_app, relay_app
from .exceptions import DocumentError

__all__ = [
    "AdviceClient",
    "DocumentError",
    "MachineClient",
    "PLAN_SECTIONS",
    "WorkerClient",
    "answer_call",
    "error_answer",
    "find_earlier_answer",
    "parse_plan",
    "readiness_app",
    "relay_app",
    "relay_error_answer",
    "rules_out_earlier",
]
