"""Events and metrics that compare the forecast of demand with what came."""

from ..observe import EventName
from ..placement import DemandForecast, ForecastLoad, RisePrediction
from ._term import Term

__all__ = ["ForecastReports"]


class ForecastReports:
    """Reports the forecast of each pool: once per rise as events, always as metrics.

    Parameters
    ----------
    term : Term
        The term of this leader.
    forecast : DemandForecast
        The forecast.
    """

    __slots__ = ("_failures", "_forecast", "_last_ends_ms", "_predicted", "_term")

    def __init__(self, term: Term, forecast: DemandForecast) -> None:
        self._term = term
        self._forecast = forecast
        self._failures: set[type[Exception]] = set()
        self._predicted: dict[str, RisePrediction] = {}
        self._last_ends_ms: dict[str, int] = {}

    def report(self, loads: tuple[ForecastLoad, ...], now_ms: int) -> None:
        """Report the forecasts on which a plan of moves is based."""
        for load, forecast in loads:
            if load.is_standby:
                continue
            self._term.metrics.set_forecast(
                pool=load.pool,
                expected=max(load.demand, int(forecast.rise_level)),
                seen=load.used + load.waiting,
                reserve=load.kept,
            )
            self._report_rise(load.pool)
            if load.imminent and load.pool not in self._predicted:
                self._report_prediction(forecast.prediction, load.imminent, now_ms)
            self._report_outcome(load.pool, now_ms)

    def report_failure(self, exc: Exception) -> None:
        """Log, once for each kind of error, that the forecast fails."""
        if type(exc) not in self._failures:
            self._failures.add(type(exc))
            detail = f"no reserves are planned, as the forecast fails: {exc!r}"
            self._term.emit(EventName.WARNING, detail=detail)

    def _report_rise(self, pool: str) -> None:
        """Log a rise that is over with the level that was forecast."""
        rise = self._forecast.last_rise(pool)
        end_ms = rise.end_ms if rise is not None else 0
        # Rises that ended before the first report were reported by an earlier leader.
        if self._last_ends_ms.setdefault(pool, end_ms) == end_ms:
            return
        self._last_ends_ms[pool] = end_ms
        self._term.emit(
            EventName.FORECAST_CHECKED,
            detail=f"pool {pool}: a rise of {end_ms - rise.begin_ms} ms reached "
            f"{rise.level / 1000:.1f} cores, {rise.forecast / 1000:.1f} were forecast",
        )

    def _report_prediction(
        self, prediction: RisePrediction, cpu: int, now_ms: int
    ) -> None:
        """Log that machines are brought for a predicted rise."""
        self._predicted[prediction.pool] = prediction
        self._term.emit(
            EventName.RISE_PREDICTED,
            detail=f"pool {prediction.pool}: {cpu / 1000:.1f} cores more in "
            f"{prediction.at_ms - now_ms} ms (error {prediction.error_ms} ms), after "
            f"the rise of {prediction.source}; right {prediction.confidence:.0%}",
        )

    def _report_outcome(self, pool: str, now_ms: int) -> None:
        """Log whether a predicted rise came, once that is known."""
        prediction = self._predicted.get(pool)
        if prediction is None:
            return
        has_come = self._forecast.has_come(prediction, now_ms)
        if has_come is None:
            return
        del self._predicted[pool]
        outcome = "right" if has_come else "missed"
        self._term.metrics.add_prediction(pool=pool, outcome=outcome)
        if not has_come:
            self._term.emit(
                EventName.RISE_MISSED,
                detail=f"pool {pool}: a predicted rise did not come",
            )
