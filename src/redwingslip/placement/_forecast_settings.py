"""Settings of the forecast of demand that comes in turns."""

from datetime import timedelta
from typing import Annotated

import msgspec

__all__ = ["ForecastSettings"]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class ForecastSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the forecast of demand that comes in turns, and of the reserves.

    Attributes
    ----------
    enabled : bool
        Whether pools keep a reserve; without it, they follow their present load alone.
    keep_initial : bool
        Whether a pool without any rise so far keeps the machines that operators gave
        it.
    initial_hold : timedelta
        From its first job on, a pool without a rise keeps its first machines for at
        most this long.
    reserve_share : float
        Share of the recent peak, beyond the present demand, that a pool keeps as its
        reserve if its jobs can't wait at all for machines to be moved; less, the more
        of `lead` they can wait; 0 for no reserve.
    reserve_decay : timedelta
        Time after which the recent peak counts half.
    max_age : timedelta
        A pool without a job for this long has no forecast. At most the time for which
        the log keeps ended jobs (`keep_ended`), since a new leader knows only these.
    lead : timedelta
        How far ahead the forecast looks: the time from the order to move a machine
        until it serves.
    anticipate_rises : bool
        Whether machines are ordered for the level that a rise under way is heading for.
    rise_window : timedelta
        Window over which the arrival rate at the beginning of a rise is averaged.
    rise_jobs : int
        Minimum number of jobs in that window.
    rise_factor : float
        A rise begins when the rate is this many times the rate before it.
    max_growth : float
        Largest factor by which the trend of the rate is extrapolated.
    predict_cycles : bool
        Whether machines are brought before a rise that earlier rises predict.
    tolerance : timedelta
        A rise counts as predicted if it begins within this time of the prediction.
    min_hits : int
        Number of rises that must have followed the pattern before it predicts any.
    min_hit_share : float
        Share of the recent predictions of a pattern that must have been right.
    rest_horizon : timedelta
        An idle machine is not switched off while a rise of another pool is predicted
        within this time.
    """

    enabled: bool = False
    keep_initial: bool = True
    initial_hold: timedelta = timedelta(seconds=20)
    reserve_share: Share = 1.0
    reserve_decay: timedelta = timedelta(seconds=30)
    max_age: timedelta = timedelta(seconds=120)
    lead: timedelta = timedelta(milliseconds=2500)
    anticipate_rises: bool = True
    rise_window: timedelta = timedelta(milliseconds=500)
    rise_jobs: int = 4
    rise_factor: float = 2.5
    max_growth: float = 2.0
    predict_cycles: bool = True
    tolerance: timedelta = timedelta(milliseconds=700)
    min_hits: int = 2
    min_hit_share: Share = 0.6
    rest_horizon: timedelta = timedelta(seconds=4)
