"""Settings of the links between processes."""

from datetime import timedelta

import msgspec

__all__ = ["PeerSettings"]


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How links to other processes are kept.

    Attributes
    ----------
    heartbeat : timedelta
        An idle link sends an empty frame this often.
    silence : timedelta
        A link that brings nothing for this long is replaced by a new one.
    connect_timeout : timedelta
        The longest wait for a new link.
    retry_delay : timedelta
        The wait before the next attempt.
    max_outbox : int
        Messages kept for a peer that can't be reached; older ones are dropped.
    max_unsent : int
        Messages kept while no stream carries a link: they are stale by the time that
        one does, and their receiver asks again.
    max_batch : int
        Messages in one frame.
    """

    heartbeat: timedelta = timedelta(seconds=1)
    silence: timedelta = timedelta(milliseconds=2500)
    connect_timeout: timedelta = timedelta(seconds=1)
    retry_delay: timedelta = timedelta(milliseconds=100)
    max_outbox: int = 20_000
    max_unsent: int = 20_000
    max_batch: int = 512
