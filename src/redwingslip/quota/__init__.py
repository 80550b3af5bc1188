"""Division of the teams' upper limits among the pools."""

from ._outputs import Proposed, QuotaOutput, Recalled
from ._planner import AllotmentPlanner
from ._settings import QuotaSettings
from ._waterfill import water_fill

__all__ = [
    "AllotmentPlanner",
    "Proposed",
    "QuotaOutput",
    "QuotaSettings",
    "Recalled",
    "water_fill",
]
