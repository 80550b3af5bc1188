"""Settings of the way of calls to the leader."""

from datetime import timedelta

import msgspec

__all__ = ["RelaySettings"]


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """How calls reach the leader.

    Attributes
    ----------
    query_interval : timedelta
        Time between two questions after the leader while none is known.
    ping_interval : timedelta
        Time between two questions to a known leader.
    silence : timedelta
        A leader that has not answered for this long is looked for anew.
    attempt_timeout : timedelta
        A call without an answer is sent again after this time.
    caller_patience : timedelta
        How long a caller's call is tried at most; about two elections.
    control_patience : timedelta
        The same for endpoints and operators, who try another process after a second.
    """

    query_interval: timedelta = timedelta(milliseconds=100)
    ping_interval: timedelta = timedelta(milliseconds=200)
    silence: timedelta = timedelta(milliseconds=600)
    attempt_timeout: timedelta = timedelta(milliseconds=700)
    caller_patience: timedelta = timedelta(milliseconds=2400)
    control_patience: timedelta = timedelta(milliseconds=900)
