"""Forecasts the demand of pools, and derives the reserves that they keep."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ..jobs import StepSpec
from ._arrivals import load_within_lead
from ._cycles import CycleModel, RisePrediction
from ._forecast_settings import ForecastSettings
from ._rises import Rise, RiseTracker
from ._urgency import JobUrgency

__all__ = ["DemandForecast", "PoolForecast"]

MS = timedelta(milliseconds=1)
# A demand above this share of the recent peak is no calm before a rise, and gets no
# reserve: a steady load varies by as much.
MAX_CALM_SHARE = 0.5
# Below this, moved machines come in time for nearly all jobs of a rise.
MIN_URGENCY = 0.1
# Weight of a new job in the average of the jobs' core time.
WORK_FACTOR_WEIGHT = 0.05
# Longer than any job.
ALL_MS = 1 << 53


class PoolForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Forecast of the demand of a pool, in thousandths of a core.

    Long-running tasks and fillers are left out.

    Attributes
    ----------
    level : float
        Load of the arrivals of the last second.
    heading : float
        Load that a rise under way is heading for, 0 without one.
    peak : float
        Load of the highest recent rise, decayed.
    work_factor : float
        Core time of the pool's jobs in relation to the part of it within `lead`.
    rise_level, rise_error : float
        Level that the next rise is expected to reach, and its error.
    age_ms : int
        Time since the last job.
    is_initial : bool
        Whether too little was seen to judge the machines that operators gave the pool.
    prediction : RisePrediction or None
        The next rise, if earlier ones predict it.
    urgency : float
        Part of the lead that the pool's jobs can't wait for, see `JobUrgency`.
    """

    level: float = 0
    heading: float = 0
    peak: float = 0
    work_factor: float = 1
    rise_level: float = 0
    rise_error: float = 0
    age_ms: int = 0
    is_initial: bool = False
    prediction: RisePrediction | None = None
    urgency: float = 1.0


class DemandForecast:
    """Forecasts the demand of each pool from the jobs that it accepted.

    Its state depends only on the recorded jobs, so that a leader that records the jobs
    of the log has the forecast of the leader before it.

    Parameters
    ----------
    cfg : ForecastSettings
        The settings.
    """

    __slots__ = ("_cfg", "_cycles", "_trackers", "_urgencies", "_work_factors")

    def __init__(self, cfg: ForecastSettings) -> None:
        self._cfg = cfg
        self._trackers: dict[str, RiseTracker] = {}
        self._cycles = CycleModel(cfg)
        self._work_factors: dict[str, float] = {}
        self._urgencies: dict[str, JobUrgency] = {}

    def record_job(
        self, pool: str, at_ms: int, steps: Sequence[StepSpec], *, slack_ms: float = 0
    ) -> None:
        """Record a job that a pool accepted; times must not decrease.

        Parameters
        ----------
        pool : str
            The pool that runs the job.
        at_ms : int
            Unix time at which the job was accepted.
        steps : sequence of StepSpec
            The steps of the job.
        slack_ms : float
            Time by which the job may start late and still end by its deadline.
        """
        load = load_within_lead(steps, self._cfg.lead // MS)
        urgency = self._urgencies.setdefault(pool, JobUrgency())
        urgency.record(load, slack_ms, self._cfg.lead // MS)
        tracker = self._trackers.get(pool)
        if tracker is None or self._is_stale(tracker, at_ms):
            tracker = self._trackers[pool] = RiseTracker(self._cfg)
            self._work_factors.pop(pool, None)
        if load:
            factor = load_within_lead(steps, ALL_MS) / load
            mean = self._work_factors.get(pool, factor)
            self._work_factors[pool] = mean + WORK_FACTOR_WEIGHT * (factor - mean)
        rise = tracker.record(at_ms, load)
        if rise is not None:
            self._cycles.record_beginning(pool, rise.begin_ms)

    def pool_forecast(self, pool: str, now_ms: int) -> PoolForecast:
        """Return the forecast of a pool; an empty one if it is stale."""
        cfg = self._cfg
        tracker = self._trackers.get(pool)
        if tracker is None:
            return PoolForecast(is_initial=cfg.keep_initial)
        if self._is_stale(tracker, now_ms):
            return PoolForecast(age_ms=now_ms - tracker.last_ms)
        tracker.close_rise(now_ms)
        rise_level, rise_error = tracker.expected_level(now_ms)
        has_risen = tracker.rise is not None or bool(tracker.earlier)
        is_young = now_ms - tracker.first_ms < cfg.initial_hold // MS
        urgency = self._urgencies[pool].value
        is_urgent = urgency >= MIN_URGENCY
        return PoolForecast(
            level=tracker.rate(now_ms, 1000),
            heading=tracker.heading(now_ms) if cfg.anticipate_rises else 0,
            peak=tracker.peak(now_ms),
            work_factor=self._work_factors.get(pool, 1),
            rise_level=rise_level,
            rise_error=rise_error,
            age_ms=max(0, now_ms - tracker.last_ms),
            is_initial=cfg.keep_initial and is_young and not has_risen and is_urgent,
            prediction=self._cycles.predict(pool, now_ms)
            if cfg.predict_cycles and is_urgent
            else None,
            urgency=urgency,
        )

    def last_rise(self, pool: str) -> Rise | None:
        """Return the last rise of a pool that is over, or None."""
        tracker = self._trackers.get(pool)
        return tracker.earlier[-1] if tracker is not None and tracker.earlier else None

    def standing_reserve(self, forecast: PoolForecast, demand: int) -> int:
        """Return the CPU that a pool keeps beyond its demand, for its next rise.

        Parameters
        ----------
        forecast : PoolForecast
            The forecast of the pool.
        demand : int
            Its present demand without long-running tasks, in thousandths of a core.
        """
        if demand >= MAX_CALM_SHARE * forecast.peak:
            return 0
        share = self._cfg.reserve_share * forecast.urgency
        return int(share * (forecast.peak - demand))

    def firm_demand(self, forecast: PoolForecast, expected: int) -> int | None:
        """Return the demand of a pool that goes before the reserves of others.

        It follows from arrivals: the backlog of a rise that found no room can be many
        times the capacity that would have served it, and most of it is late already.
        None means all of its demand, as long as no rise has shown its level.

        Parameters
        ----------
        forecast : PoolForecast
            The forecast of the pool.
        expected : int
            The demand that the present arrivals cause, without long-running tasks, in
            thousandths of a core.
        """
        if not forecast.peak:
            return None
        return int(forecast.work_factor * max(expected, forecast.peak))

    def imminent_reserve(self, forecast: PoolForecast, demand: int, now_ms: int) -> int:
        """Return the CPU that a predicted rise needs beyond the present demand.

        It is 0 until the machines have to be ordered to arrive in time.
        """
        prediction = forecast.prediction
        if prediction is None:
            return 0
        order_ms = prediction.at_ms - prediction.error_ms - self._cfg.lead // MS
        if now_ms < order_ms:
            return 0
        level = min(forecast.rise_level, max(forecast.peak, forecast.level))
        return int(prediction.confidence * max(0.0, level - demand))

    def has_come(self, prediction: RisePrediction, now_ms: int) -> bool | None:
        """Return whether a predicted rise has come; None while that is open."""
        return self._cycles.has_come(prediction, now_ms)

    def is_rise_near(self, forecast: PoolForecast, now_ms: int) -> bool:
        """Return whether the pool is predicted to rise within `rest_horizon`."""
        prediction = forecast.prediction
        horizon_ms = self._cfg.rest_horizon // MS
        return prediction is not None and prediction.at_ms <= now_ms + horizon_ms

    def _is_stale(self, tracker: RiseTracker, now_ms: int) -> bool:
        return now_ms - tracker.last_ms > self._cfg.max_age // MS
