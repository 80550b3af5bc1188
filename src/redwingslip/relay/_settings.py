"""Settings of the relay of calls to the leader."""

from datetime import timedelta
from typing import Annotated

import msgspec

__all__ = ["RelaySettings"]


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader is found, and how long calls to it are tried.

    Attributes
    ----------
    query_interval : timedelta
        Interval of the queries to all replicas while no leader is known.
    ping_interval : timedelta
        Interval of the queries to a known leader.
    silence : timedelta
        A leader that has not answered for this time is dropped and searched for again.
    attempt_timeout : timedelta
        A call without an answer is sent again after this time.
    caller_patience : timedelta
        Longest time for which a caller's call is tried; enough for about two elections.
    control_patience : timedelta
        The same for calls of endpoints and operators; keep it below the one second
        after which they try another process.
    max_in_flight_bytes : int
        Limit of the total size of the bodies that are on their way to the leader;
        further ones wait. A body of up to 64 KiB, or a single larger one, is always
        sent.
    """

    query_interval: timedelta = timedelta(milliseconds=100)
    ping_interval: timedelta = timedelta(milliseconds=200)
    silence: timedelta = timedelta(milliseconds=600)
    attempt_timeout: timedelta = timedelta(milliseconds=700)
    caller_patience: timedelta = timedelta(milliseconds=2400)
    control_patience: timedelta = timedelta(milliseconds=900)
    max_in_flight_bytes: Annotated[int, msgspec.Meta(ge=1)] = 8 << 20
