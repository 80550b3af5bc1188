"""Settings of the links between processes."""

from datetime import timedelta
from typing import Annotated

import msgspec

__all__ = ["PeerSettings"]


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the links to other processes.

    Attributes
    ----------
    heartbeat : timedelta
        Interval at which an idle link sends an empty frame.
    silence : timedelta
        A link that receives no frame for this time is replaced by a new one.
    connect_timeout : timedelta
        Longest wait for a new link to open.
    retry_delay : timedelta
        Wait before the next attempt to open a link.
    max_outbox : int
        Maximum number of messages queued for a peer; beyond it the oldest are dropped.
    max_unsent : int
        The same limit while no stream to the peer is open. When a stream opens, the
        queued messages are stale, and their receiver requests them again.
    max_outbox_bytes : int
        Maximum total size of the bodies of relayed calls and answers queued for a
        peer; beyond it, a further one is dropped, and its sender sends it again. A
        single one is always queued.
    max_batch : int
        Maximum number of messages in one frame.
    max_frame_bytes : int
        A frame ends with the message with which the total size of its bodies and log
        entries reaches this.
    window_bytes : int
        Bytes that a peer may send on one connection before they are read.
    max_message_bytes : int
        A longer frame of messages ends the link. A frame has at most `max_frame_bytes`
        and its last message.
    max_unknown : int
        Connections whose sender has not authenticated as a peer; beyond it, the oldest
        one is closed.
    authentication_timeout : timedelta
        A connection whose sender has not authenticated by then is closed.
    """

    heartbeat: timedelta = timedelta(seconds=1)
    silence: timedelta = timedelta(milliseconds=2500)
    connect_timeout: timedelta = timedelta(seconds=1)
    retry_delay: timedelta = timedelta(milliseconds=100)
    max_outbox: int = 20_000
    max_unsent: int = 20_000
    max_outbox_bytes: Annotated[int, msgspec.Meta(ge=1)] = 16 << 20
    max_batch: int = 512
    max_frame_bytes: Annotated[int, msgspec.Meta(ge=1)] = 1 << 20
    window_bytes: Annotated[int, msgspec.Meta(ge=65_536, le=2**31 - 1)] = 1 << 20
    max_message_bytes: Annotated[int, msgspec.Meta(ge=1)] = 32 << 20
    max_unknown: Annotated[int, msgspec.Meta(ge=1)] = 128
    authentication_timeout: timedelta = timedelta(seconds=10)
