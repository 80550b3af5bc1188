"""Predicts the beginnings of rises from the intervals between earlier ones."""

from collections import deque
from datetime import timedelta
from statistics import median

import msgspec

from ._forecast_settings import ForecastSettings

__all__ = ["CycleModel", "RisePrediction"]

MS = timedelta(milliseconds=1)
# Number of beginnings kept for each pool, and of lags and predictions that count.
MAX_BEGINNINGS = 8
MAX_SAMPLES = 5
# A shorter lag leaves no time to move a machine.
MIN_LAG_MS = 1000
MAX_LAG_MS = 60_000


class RisePrediction(msgspec.Struct, frozen=True, kw_only=True):
    """The predicted beginning of a pool's next rise.

    Attributes
    ----------
    source : str
        Pool whose rise it follows; the pool itself if its rises come at an interval.
    at_ms : int
        Unix time of the beginning.
    error_ms : int
        Mean absolute deviation of the lags that it was derived from.
    confidence : float
        Share of the recent predictions of this pattern that were right.
    """

    pool: str
    source: str
    at_ms: int
    error_ms: int
    confidence: float


class CycleModel:
    """Learns which pool's rise follows which, and after how long.

    The interval between the rises of one pool is the lag from the pool to itself.

    Parameters
    ----------
    cfg : ForecastSettings
        The settings.
    """

    __slots__ = ("_beginnings", "_cfg")

    def __init__(self, cfg: ForecastSettings) -> None:
        self._cfg = cfg
        self._beginnings: dict[str, deque[int]] = {}

    def record_beginning(self, pool: str, at_ms: int) -> None:
        """Record the beginning of a pool's rise."""
        beginnings = self._beginnings.setdefault(pool, deque(maxlen=MAX_BEGINNINGS))
        beginnings.append(at_ms)

    def predict(self, pool: str, now_ms: int) -> RisePrediction | None:
        """Return the next rise of a pool, or None if no pattern predicts one.

        Of several patterns, the one that was right most often predicts, and among
        equals the one with the least error. A prediction ends `tolerance` after its
        time if the rise does not come.
        """
        horizon_ms = now_ms - self._cfg.max_age // MS
        targets = [at for at in self._beginnings.get(pool, ()) if at > horizon_ms]
        if len(targets) < self._cfg.min_hits:
            return None
        predictions = []
        for source, beginnings in self._beginnings.items():
            sources = [at for at in beginnings if at > horizon_ms]
            prediction = self._predict_from(source, sources, pool, targets, now_ms)
            if prediction is not None:
                predictions.append(prediction)
        return max(predictions, key=lambda p: (p.confidence, -p.error_ms), default=None)

    def has_come(self, prediction: RisePrediction, now_ms: int) -> bool | None:
        """Return whether a predicted rise has come; None while that is open."""
        tolerance_ms = self._cfg.tolerance // MS
        beginnings = self._beginnings.get(prediction.pool, ())
        if any(abs(at - prediction.at_ms) <= tolerance_ms for at in beginnings):
            return True
        return None if now_ms <= prediction.at_ms + tolerance_ms else False

    def _predict_from(
        self,
        source: str,
        sources: list[int],
        pool: str,
        targets: list[int],
        now_ms: int,
    ) -> RisePrediction | None:
        """Return the prediction from the rises of one other pool, or of its own."""
        lags = _lags(sources, targets)[-MAX_SAMPLES:]
        if not lags:
            return None
        lag_ms = int(median(lags))
        tolerance_ms = self._cfg.tolerance // MS
        n_hits = n_misses = 0
        due_ms = None
        for begin_ms in sources[-MAX_SAMPLES:]:
            expected_ms = begin_ms + lag_ms
            if any(abs(at - expected_ms) <= tolerance_ms for at in targets):
                n_hits += 1
            elif expected_ms + tolerance_ms < now_ms:
                n_misses += 1
            elif due_ms is None:
                due_ms = expected_ms
        if due_ms is None or n_hits < self._cfg.min_hits:
            return None
        confidence = n_hits / (n_hits + n_misses)
        if confidence < self._cfg.min_hit_share:
            return None
        error_ms = sum(abs(lag - lag_ms) for lag in lags) // len(lags)
        return RisePrediction(
            pool=pool,
            source=source,
            at_ms=due_ms,
            error_ms=error_ms,
            confidence=confidence,
        )


def _lags(sources: list[int], targets: list[int]) -> list[int]:
    """Return the lag of each target behind the last source before it, in ms."""
    lags = []
    for at_ms in targets:
        earlier = [s for s in sources if s <= at_ms - MIN_LAG_MS]
        if earlier and at_ms - earlier[-1] <= MAX_LAG_MS:
            lags.append(at_ms - earlier[-1])
    return lags
