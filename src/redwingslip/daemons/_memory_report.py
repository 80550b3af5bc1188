"""Metrics and log lines of the memory that clients use."""

from collections import Counter
from datetime import timedelta

from ..clock import Clock
from ..http import RefusalCause, ServerMemory
from ..observe import Event, EventName, EventSink, Metrics
from ._process import ProcessCore

__all__ = ["MemoryReport", "report_memory"]

# A flood of clients must not flood the log too.
LOG_INTERVAL = timedelta(seconds=10)


class MemoryReport:
    """Counts refusals for lack of memory, and logs them at most every 10 seconds.

    Parameters
    ----------
    memory : ServerMemory
        What the servers of the process may use.
    clock : Clock
        Clock of the process.
    events : EventSink
        Receives an event with the counts by cause since the event before.
    metrics : Metrics
        Receives the refusals, and the bytes of bodies in use.
    """

    __slots__ = ("_clock", "_counts", "_events", "_logged_at", "_memory", "_metrics")

    def __init__(
        self,
        memory: ServerMemory,
        *,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
    ) -> None:
        self._memory = memory
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._counts: Counter[RefusalCause] = Counter()
        self._logged_at: timedelta | None = None
        memory.observe(on_refusal=self.add, on_usage=metrics.set_body_usage)

    def add(self, cause: RefusalCause) -> None:
        """Count a refusal, and log the counts if the last log line is old enough."""
        self._metrics.add_memory_refusals(1, cause=cause.value)
        self._counts[cause] += 1
        now = self._clock.monotonic()
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        counts = ", ".join(f"{cause}: {n}" for cause, n in sorted(self._counts.items()))
        self._counts.clear()
        bodies, connections = self._memory.bodies, self._memory.connections
        detail = (
            f"{counts}; bodies use {bodies.n_bytes} of {bodies.max_bytes} bytes, "
            f"{len(connections)} of {connections.max_connections} connections are open"
        )
        self._events.emit(Event(name=EventName.MEMORY_REFUSED, detail=detail))


def report_memory(memory: ServerMemory, core: ProcessCore) -> MemoryReport:
    """Return a new report to the log and the metrics of a process."""
    return MemoryReport(
        memory, clock=core.clock, events=core.events, metrics=core.metrics
    )
