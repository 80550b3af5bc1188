"""Planning of maintenance waves and of moves between pools.

The planners run beside the leader of the replicated log. They look at the fleet's
view and propose commands; the replicated state refuses what would break a budget.
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
