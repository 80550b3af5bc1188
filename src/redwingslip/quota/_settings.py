"""Settings of the allotment planner."""

from datetime import timedelta

import msgspec

__all__ = ["QuotaSettings"]


class QuotaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that control how allotments follow demand.

    Attributes
    ----------
    repeat : timedelta
        Time after which a proposal or a recall that had no effect is repeated.
    plan_interval : timedelta
        Minimum time between two divisions of a contended limit.
    stale_after : timedelta
        Time without a report after which the demand of a pool counts as zero.
    longest_run : timedelta
        Minimum time that the planner waits for a pool that does not report, counted
        from when a limit came into force or this leader started. A longer ``max_run``
        of a queue replaces it, so that work that started before has ended by then.
    """

    repeat: timedelta = timedelta(milliseconds=500)
    plan_interval: timedelta = timedelta(milliseconds=100)
    stale_after: timedelta = timedelta(seconds=3)
    longest_run: timedelta = timedelta(seconds=60)
