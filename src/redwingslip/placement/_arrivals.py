"""Forecasts the load of a pool from the jobs that it accepted recently."""

from collections import deque
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ..jobs import StepSpec

__all__ = ["ArrivalSettings", "ArrivalTrend", "load_within_lead"]

MS = timedelta(milliseconds=1)


class ArrivalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the load forecast.

    Attributes
    ----------
    lead : timedelta
        How far ahead the forecast looks. A machine takes about this long from the
        order to move it until it serves: 1.5 s for the move (platform contract) plus
        the time until its first report.
    short_window : timedelta
        Window over which arrivals are averaged while the arrival rate rises.
    short_window_jobs : int
        Minimum number of jobs in the short window for it to be used.
    long_window : timedelta
        Window over which arrivals are always averaged.
    """

    lead: timedelta = timedelta(seconds=2)
    short_window: timedelta = timedelta(milliseconds=500)
    short_window_jobs: int = 3
    long_window: timedelta = timedelta(milliseconds=1500)


class _Arrival(msgspec.Struct, frozen=True):
    """An accepted job, and the load that one job like it per second causes.

    Attributes
    ----------
    at_ms : int
        Unix time at which the job was accepted.
    load : float
        Load in thousandths of a core, see `load_within_lead`.
    """

    at_ms: int
    load: float


class ArrivalTrend:
    """Estimates the load of each pool from its recent arrival rate.

    Parameters
    ----------
    cfg : ArrivalSettings
        The settings.
    """

    __slots__ = ("_arrivals", "_cfg")

    def __init__(self, cfg: ArrivalSettings) -> None:
        self._cfg = cfg
        self._arrivals: dict[str, deque[_Arrival]] = {}

    def record_job(self, pool: str, at_ms: int, steps: Sequence[StepSpec]) -> None:
        """Record a job that a pool accepted.

        Parameters
        ----------
        pool : str
            The pool that runs the job.
        at_ms : int
            Unix time at which the job was accepted.
        steps : sequence of StepSpec
            The steps of the job.
        """
        arrivals = self._arrivals.setdefault(pool, deque())
        arrivals.append(_Arrival(at_ms, load_within_lead(steps, self._cfg.lead // MS)))
        self._drop_expired(arrivals, at_ms)

    def expected_cpu(self, pool: str, now_ms: int) -> int:
        """Return the CPU that a pool will need if jobs keep arriving at this rate.

        Returns
        -------
        int
            Thousandths of a core, without long-running tasks.
        """
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return 0
        self._drop_expired(arrivals, now_ms)
        cfg = self._cfg
        since_ms = now_ms - cfg.short_window // MS
        recent_loads = [a.load for a in arrivals if a.at_ms > since_ms]
        expected = sum(a.load for a in arrivals) / cfg.long_window.total_seconds()
        if len(recent_loads) >= cfg.short_window_jobs:
            recent_load = sum(recent_loads) / cfg.short_window.total_seconds()
            expected = max(expected, recent_load)
        return int(expected)

    def _drop_expired(self, arrivals: deque[_Arrival], now_ms: int) -> None:
        horizon_ms = now_ms - self._cfg.long_window // MS
        while arrivals and arrivals[0].at_ms <= horizon_ms:
            arrivals.popleft()


def load_within_lead(steps: Sequence[StepSpec], lead_ms: int) -> float:
    """Return the load that one job per second causes within the lead time.

    Each step counts with the CPU of its tasks, for the part of its run time that falls
    into the first `lead_ms` of the job. The estimate assumes that every step starts as
    soon as the steps before it have ended.

    Returns
    -------
    float
        Thousandths of a core, without long-running tasks and fillers.
    """
    load = 0.0
    ends: list[int] = []
    for step in steps:
        begin = max((ends[i] for i in step.after if i < len(ends)), default=0)
        ends.append(begin + step.estimate_ms)
        if step.is_long_running or step.is_filler:
            continue
        busy_ms = max(0, min(ends[-1], lead_ms) - begin)
        load += step.n_tasks * step.need.cpu * busy_ms / 1000
    return load
