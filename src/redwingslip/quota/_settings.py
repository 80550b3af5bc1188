"""Settings of the planner of allotments."""

from datetime import timedelta

import msgspec

__all__ = ["QuotaSettings"]


class QuotaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How allotments follow demand.

    Attributes
    ----------
    repeat : timedelta
        After how long a proposal or a recall without effect is made again.
    plan_interval : timedelta
        The shortest time between two divisions of a limit that is contended.
    stale_after : timedelta
        A pool's demand that was not heard for this long counts as zero.
    longest_run : timedelta
        How long a pool that is not heard is awaited after a limit came in force, or
        after this leader began, at least; a longer ``max_run`` of a queue counts
        instead, so that work that began before has ended by then.
    """

    repeat: timedelta = timedelta(milliseconds=500)
    plan_interval: timedelta = timedelta(milliseconds=100)
    stale_after: timedelta = timedelta(seconds=3)
    longest_run: timedelta = timedelta(seconds=60)
