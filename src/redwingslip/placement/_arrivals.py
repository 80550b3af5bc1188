"""What a pool will soon be asked for, told from the jobs that it was handed lately."""

from collections import deque
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ..jobs import StepSpec

__all__ = ["ArrivalSettings", "ArrivalTrend"]

MS = timedelta(milliseconds=1)


class ArrivalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How arrivals become an expectation.

    Attributes
    ----------
    lead : timedelta
        How far ahead is looked: a machine that is ordered now serves after this time
        (platform contract: 1.5 s for a move, and its first report).
    short_window : timedelta
        Arrivals are counted over this time while a queue rises.
    short_window_jobs : int
        Jobs from which on the short window says something.
    long_window : timedelta
        Arrivals are counted over this time in any case.
    """

    lead: timedelta = timedelta(seconds=2)
    short_window: timedelta = timedelta(milliseconds=500)
    short_window_jobs: int = 3
    long_window: timedelta = timedelta(milliseconds=1500)


class _Arrival(msgspec.Struct, frozen=True):
    """A job that was accepted, and what jobs like it ask for per job and second."""

    at_ms: int
    load: float


class ArrivalTrend:
    """Follows the jobs of each pool.

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
        """Take note of a job that was accepted at a Unix time in milliseconds."""
        arrivals = self._arrivals.setdefault(pool, deque())
        arrivals.append(_Arrival(at_ms, _load_ahead(steps, self._cfg.lead // MS)))
        self._drop_old(arrivals, at_ms)

    def expected_cpu(self, pool: str, now_ms: int) -> int:
        """Return what will be asked for if jobs go on arriving as they do.

        In thousandths of a core, without tasks that run until cancelled.
        """
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return 0
        self._drop_old(arrivals, now_ms)
        cfg = self._cfg
        since_ms = now_ms - cfg.short_window // MS
        recent = [a.load for a in arrivals if a.at_ms > since_ms]
        expected = sum(a.load for a in arrivals) / cfg.long_window.total_seconds()
        if len(recent) >= cfg.short_window_jobs:
            rising = sum(recent) / cfg.short_window.total_seconds()
            expected = max(expected, rising)
        return int(expected)

    def _drop_old(self, arrivals: deque[_Arrival], now_ms: int) -> None:
        horizon_ms = now_ms - self._cfg.long_window // MS
        while arrivals and arrivals[0].at_ms <= horizon_ms:
            arrivals.popleft()


def _load_ahead(steps: Sequence[StepSpec], lead_ms: int) -> float:
    """Return the load that one job a second has brought after some time.

    In thousandths of a core: what each step needs, for as long as it is at work before
    `lead_ms` have passed, when everything starts at once.
    """
    load = 0.0
    ends: list[int] = []
    for step in steps:
        begin = max((ends[i] for i in step.after if i < len(ends)), default=0)
        ends.append(begin + step.estimate_ms)
        if step.is_long_running or step.is_filler:
            continue
        at_work_ms = max(0, min(ends[-1], lead_ms) - begin)
        load += step.n_tasks * step.need.cpu * at_work_ms / 1000
    return load
