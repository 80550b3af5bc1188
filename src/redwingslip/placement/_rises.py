"""Finds the rises in the arrivals of a pool: when they begin, and how high they go."""

import math
from collections import deque
from datetime import timedelta

import msgspec

from ._forecast_settings import ForecastSettings

__all__ = ["Rise", "RiseTracker"]

MS = timedelta(milliseconds=1)
# Arrivals are summed in bins, so that the cost of a window does not grow with the load.
BIN_MS = 100
# The level of a rise is the load over its last seconds: at least the first of these
# windows and at most the second. The largest of many short averages would be far above
# the level of a steady load.
LEVEL_WINDOW_MS = 1000
MAX_LEVEL_WINDOW_MS = 4000
# The level is kept once the rate is below this share of it, as the rise is ending.
HOLD_SHARE = 0.7
# The arrivals of this long before the window of a possible rise are its baseline.
BASE_WINDOW_MS = 2000
# A rise is over when the rate is below this share of its level.
END_SHARE = 0.4
# The beginning of a rise reaches at least this share of the recent peak, so that noise
# between rises is not taken for one.
MIN_PEAK_SHARE = 0.3
# A count that exceeds its expectation by this many standard deviations is no noise.
# With 3 and a rise factor of 2, a steady load of 10 random arrivals a second had two to
# seven rises a minute; with 4 and 2.5, none to three.
N_DEVIATIONS = 4
# Growth from one window to the next above which a rise goes on; below is noise.
STRONG_GROWTH = 1.5
# Number of earlier rises that the level of the next one is estimated from.
MAX_RISES = 5


class Rise(msgspec.Struct):
    """A time in which the arrivals of a pool are far above those before it.

    Attributes
    ----------
    begin_ms : int
        Unix time of its first arrivals.
    level : float
        Load over its last seconds, in thousandths of a core.
    error : float
        Standard error of the level, as far as it is due to the number of arrivals.
    forecast : float
        Level that was expected when it began; 0 if there was no earlier rise.
    end_ms : int
        Unix time of its end; 0 while it lasts.
    """

    begin_ms: int
    level: float = 0
    error: float = 0
    forecast: float = 0
    end_ms: int = 0


class _Bin(msgspec.Struct):
    """Number and total load of the arrivals within `BIN_MS`."""

    number: int
    n_jobs: int
    load: float


class RiseTracker:
    """Rises and recent peak of the arrivals of one pool.

    Its state depends on the arrivals alone, not on when it is asked. Loads are in
    thousandths of a core; a load is the rate of arrivals times the load that one
    arrival per second causes.

    Parameters
    ----------
    cfg : ForecastSettings
        The settings.

    Attributes
    ----------
    first_ms : int or None
        Unix time of the first arrival.
    last_ms : int
        Unix time of the last arrival.
    rise : Rise or None
        The rise that is under way.
    earlier : deque of Rise
        The last rises that are over.
    """

    __slots__ = (
        "_bins",
        "_cfg",
        "_peak",
        "_peak_ms",
        "earlier",
        "first_ms",
        "last_ms",
        "rise",
    )

    def __init__(self, cfg: ForecastSettings) -> None:
        self._cfg = cfg
        self._bins: deque[_Bin] = deque()
        self._peak = 0.0
        self._peak_ms = 0
        self.first_ms: int | None = None
        self.last_ms = 0
        self.rise: Rise | None = None
        self.earlier: deque[Rise] = deque(maxlen=MAX_RISES)

    def record(self, at_ms: int, load: float) -> Rise | None:
        """Record an arrival; return the rise that begins with it, or None.

        Parameters
        ----------
        at_ms : int
            Unix time of the arrival. An earlier time than that of the last arrival
            counts as the latter, as the clocks of two leaders may differ.
        load : float
            Load that one such arrival per second causes; 0 for a job without short
            tasks, which tells only that the pool is in use.
        """
        at_ms = max(at_ms, self.last_ms)
        if self.first_ms is None:
            self.first_ms = at_ms
        if not load:
            self.last_ms = at_ms
            return None
        self.close_rise(at_ms)
        self._add(at_ms, load)
        self.last_ms = at_ms
        began = self._begin_rise(at_ms) if self.rise is None else None
        if self.rise is not None:
            self._update_level(self.rise, at_ms)
        return began

    def close_rise(self, now_ms: int) -> None:
        """End the rise that is under way if its rate has fallen."""
        rise = self.rise
        if rise is None or now_ms - rise.begin_ms < LEVEL_WINDOW_MS:
            return
        if self.rate(now_ms, LEVEL_WINDOW_MS) < END_SHARE * rise.level:
            rise.end_ms = self.last_ms
            level = rise.level - rise.error
            self._peak = max(level, self._decayed_peak(self.last_ms))
            self._peak_ms = self.last_ms
            self.earlier.append(rise)
            self.rise = None

    def peak(self, now_ms: int) -> float:
        """Return the level of the highest recent rise less its error, decayed."""
        rise = self.rise
        level = rise.level - rise.error if rise is not None else 0.0
        return max(level, self._decayed_peak(now_ms))

    def _decayed_peak(self, now_ms: int) -> float:
        half_life_ms = max(1, self._cfg.reserve_decay // MS)
        return self._peak * 0.5 ** (max(0, now_ms - self._peak_ms) / half_life_ms)

    def _update_level(self, rise: Rise, at_ms: int) -> None:
        if self.rate(at_ms, LEVEL_WINDOW_MS) >= HOLD_SHARE * rise.level:
            elapsed_ms = max(at_ms - rise.begin_ms, LEVEL_WINDOW_MS)
            window_ms = min(elapsed_ms, MAX_LEVEL_WINDOW_MS)
            rise.level = self.rate(at_ms, window_ms)
            last = at_ms // BIN_MS
            n_jobs = self._n_jobs(last - window_ms // BIN_MS + 1, last)
            rise.error = rise.level / math.sqrt(n_jobs)

    def expected_level(self, now_ms: int) -> tuple[float, float]:
        """Return the level that a rise is expected to reach, and its error.

        Returns
        -------
        tuple of float
            Mean of the recent rises' levels and their mean absolute deviation from it;
            zeros if there are none. The deviation of a single one is unknown: 0.
        """
        horizon_ms = now_ms - self._cfg.max_age // MS
        levels = [rise.level for rise in self.earlier if rise.end_ms > horizon_ms]
        if not levels:
            return 0.0, 0.0
        mean = sum(levels) / len(levels)
        return mean, sum(abs(level - mean) for level in levels) / len(levels)

    def heading(self, now_ms: int) -> float:
        """Return the load that a rise under way is heading for; 0 without a rise.

        That is the level of earlier rises less their error, or the rate if that is
        higher; without earlier rises, the trend of the rate. After `lead`, what has
        arrived says more.
        """
        rise = self.rise
        cfg = self._cfg
        if rise is None or now_ms - rise.begin_ms > cfg.lead // MS:
            return 0.0
        window_ms = cfg.rise_window // MS
        elapsed_ms = now_ms - rise.begin_ms
        rate = self.rate(now_ms, window_ms)
        earlier, error = self.expected_level(now_ms)
        if elapsed_ms >= window_ms and rate < END_SHARE * max(rise.level, earlier):
            # Not a rise like the earlier ones, or over already.
            return rate
        if earlier:
            return max(earlier - error, rate)
        if elapsed_ms < window_ms:
            # The part of the window before the rise dilutes its rate.
            return rate * min(cfg.max_growth, window_ms / max(BIN_MS, elapsed_ms))
        before = self.rate(now_ms - window_ms, window_ms)
        if elapsed_ms < 2 * window_ms or rate < STRONG_GROWTH * before:
            return rate
        return min(
            rate + (rate - before) * cfg.lead / cfg.rise_window, cfg.max_growth * rate
        )

    def rate(self, now_ms: int, window_ms: int) -> float:
        """Return the load of the arrivals within a window that ends at a time."""
        last = now_ms // BIN_MS
        first = last - max(1, window_ms // BIN_MS) + 1
        load = sum(b.load for b in self._bins if first <= b.number <= last)
        return load * 1000 / (now_ms - first * BIN_MS + 1)

    def _n_jobs(self, first: int, last: int) -> int:
        return sum(b.n_jobs for b in self._bins if first <= b.number <= last)

    def _add(self, at_ms: int, load: float) -> None:
        number = at_ms // BIN_MS
        if not self._bins or self._bins[-1].number != number:
            self._bins.append(_Bin(number, 0, 0.0))
            window_ms = self._cfg.rise_window // MS
            kept = max(BASE_WINDOW_MS + window_ms, MAX_LEVEL_WINDOW_MS, 2 * window_ms)
            while self._bins[0].number < number - kept // BIN_MS - 1:
                self._bins.popleft()
        self._bins[-1].n_jobs += 1
        self._bins[-1].load += load

    def _begin_rise(self, at_ms: int) -> Rise | None:
        """Begin a rise if the rate in the short window is far above its baseline."""
        cfg = self._cfg
        window_ms = cfg.rise_window // MS
        last = at_ms // BIN_MS
        first = last - max(1, window_ms // BIN_MS) + 1
        n_jobs = self._n_jobs(first, last)
        if n_jobs < cfg.rise_jobs:
            return None
        n_base = self._n_jobs(first - BASE_WINDOW_MS // BIN_MS, first - 1)
        # One more than seen, since no arrival in the window does not mean none ever.
        n_expected = (n_base + 1) * window_ms / BASE_WINDOW_MS
        if n_jobs < n_expected + N_DEVIATIONS * math.sqrt(n_expected):
            return None
        load = self.rate(at_ms, window_ms)
        base_load = self.rate(first * BIN_MS - 1, BASE_WINDOW_MS)
        if load < max(cfg.rise_factor * base_load, MIN_PEAK_SHARE * self.peak(at_ms)):
            return None
        begin = next(b.number for b in self._bins if b.number >= first)
        forecast, _ = self.expected_level(at_ms)
        self.rise = Rise(begin * BIN_MS, forecast=forecast)
        return self.rise
