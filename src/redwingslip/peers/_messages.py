"""The messages between the processes of a system.

All messages between two processes are sent in batches over one stream. Any message
may be lost, delayed or duplicated; a process that needs an answer repeats its request.
"""

from ..consensus._messages import ConsensusMessage
from . import _dispatch_messages, _leader_messages, _order_messages, _relay_messages
from ._dispatch_messages import *  # noqa: F403
from ._dispatch_messages import DispatchMessage
from ._leader_messages import *  # noqa: F403
from ._leader_messages import LeaderMessage
from ._order_messages import *  # noqa: F403
from ._order_messages import OrderMessage
from ._relay_messages import *  # noqa: F403
from ._relay_messages import RelayMessage

__all__ = [
    "Message",
    *_dispatch_messages.__all__,
    *_leader_messages.__all__,
    *_order_messages.__all__,
    *_relay_messages.__all__,
]

Message = (
    ConsensusMessage | LeaderMessage | DispatchMessage | OrderMessage | RelayMessage
)
