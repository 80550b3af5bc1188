"""Links between the processes of a system, and the messages that they exchange."""

from . import _messages
from ._hub import PeerHub
from ._messages import *  # noqa: F403
from ._numbers import RequestNumbers
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = [
    *_messages.__all__,
    "LinkError",
    "PeerHub",
    "PeerSettings",
    "RequestNumbers",
]
