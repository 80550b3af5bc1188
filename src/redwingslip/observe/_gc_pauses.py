"""Pauses of the garbage collector."""

import asyncio
import gc
from datetime import timedelta

from ..clock import Clock
from ._events import Event, EventName, EventSink
from ._metrics import Metrics

__all__ = ["GcPauses"]

MS = timedelta(milliseconds=1)
REPORT_INTERVAL = timedelta(seconds=1)
N_GENERATIONS = len(gc.get_threshold())
# Share of the time above which pauses are logged.
MAX_PAUSE_SHARE = 0.1


class GcPauses:
    """Measures the pauses of the garbage collector, and logs when they are long.

    The collector stops the event loop. Its pauses are only noted while it runs, and
    recorded by a task: the collector may interrupt any code, also that of the event
    log and of the exporter, which must not be entered twice.

    Parameters
    ----------
    clock : Clock
        Measures the pauses.
    events : EventSink
        Receives the warnings.
    metrics : Metrics
        Receives the duration of each pause.
    """

    __slots__ = ("_clock", "_events", "_metrics", "_pauses", "_started_at", "_task")

    def __init__(self, *, clock: Clock, events: EventSink, metrics: Metrics) -> None:
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._pauses: list[list[timedelta]] = [[] for _ in range(N_GENERATIONS)]
        self._started_at: timedelta | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to measure; needs a running event loop."""
        gc.callbacks.append(self._on_phase)
        self._task = asyncio.create_task(self._report_forever(), name="gc pauses")

    async def stop(self) -> None:
        """Record the last pauses and stop; does nothing if it was not started."""
        if self._task is None:
            return
        gc.callbacks.remove(self._on_phase)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        self._record()

    def _on_phase(self, phase: str, info: dict[str, int]) -> None:
        """Note the start or the end of a collection; see `gc.callbacks`."""
        now = self._clock.monotonic()
        if phase == "start":
            self._started_at = now
        elif self._started_at is not None:
            self._pauses[info["generation"]].append(now - self._started_at)
            self._started_at = None

    async def _report_forever(self) -> None:
        """Record the pauses in regular intervals."""
        while True:
            began_at = self._clock.monotonic()
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())
            pauses = self._record()
            elapsed = self._clock.monotonic() - began_at
            total = sum((sum(durations, timedelta(0)) for durations in pauses), MS * 0)
            if total > elapsed * MAX_PAUSE_SHARE:
                self._warn(pauses, total=total, elapsed=elapsed)

    def _record(self) -> list[list[timedelta]]:
        """Record the noted pauses in the metrics; return them by generation."""
        noted = self._pauses
        self._pauses = [[] for _ in range(N_GENERATIONS)]
        for generation, durations in enumerate(noted):
            for duration in durations:
                self._metrics.record_gc_pause(generation=generation, duration=duration)
        return noted

    def _warn(
        self, pauses: list[list[timedelta]], *, total: timedelta, elapsed: timedelta
    ) -> None:
        longest = max(max(durations) for durations in pauses if durations)
        counts = "/".join(str(len(durations)) for durations in pauses)
        detail = (
            f"the garbage collector paused the process for {total / MS:.0f} of "
            f"{elapsed / MS:.0f} ms, at most {longest / MS:.0f} ms at once; "
            f"collections by generation: {counts}"
        )
        self._events.emit(Event(name=EventName.WARNING, detail=detail))
