"""How late the leader's event loop is."""

import asyncio
from datetime import timedelta

from ..observe import EventName
from ._term import Term

__all__ = ["LoopLag"]

MS = timedelta(milliseconds=1)
SAMPLE_INTERVAL = timedelta(milliseconds=100)
N_SAMPLES_PER_REPORT = 10
# A start order waits several times as long, which short tasks notice.
MAX_MEAN_LAG = timedelta(milliseconds=20)


class LoopLag:
    """Measures how late timers fire, and logs when they are late on average.

    A leader that is late places, orders and records with a delay, although VMs have
    room and answer at once.

    Parameters
    ----------
    term : Term
        The term of this leader.
    """

    __slots__ = ("_lags", "_term")

    def __init__(self, term: Term) -> None:
        self._term = term
        self._lags: list[timedelta] = []

    async def run(self) -> None:
        """Take samples for as long as the leader leads."""
        while True:
            due_at = self._term.clock.monotonic() + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL.total_seconds())
            self.record(max(timedelta(0), self._term.clock.monotonic() - due_at))

    def record(self, lag: timedelta) -> None:
        """Record a sample; log a warning if the last ones were late on average."""
        self._term.metrics.record_loop_lag(duration=lag)
        self._lags.append(lag)
        if len(self._lags) < N_SAMPLES_PER_REPORT:
            return
        mean = sum(self._lags, timedelta(0)) / len(self._lags)
        if mean > MAX_MEAN_LAG:
            detail = (
                f"the event loop is {mean / MS:.0f} ms late on average, at most "
                f"{max(self._lags) / MS:.0f} ms"
            )
            self._term.emit(EventName.WARNING, detail=detail)
        self._lags.clear()
