"""Planning of maintenance waves and of moves between pools.

The planners run in the process that leads the replicated log. They read the fleet's
view and propose commands. The replicated state rejects commands that would violate a
budget.
"""

from ._moves import BlockedMove, MovePlanner
from ._settings import MoveSettings, WaveSettings
from ._status import WavePhase, WaveStatus
from ._waves import WavePlanner

__all__ = [
    "BlockedMove",
    "MovePlanner",
    "MoveSettings",
    "WavePhase",
    "WavePlanner",
    "WaveSettings",
    "WaveStatus",
]
