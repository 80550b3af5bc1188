"""Metrics of a process: its log, its event loop and its memory."""

from datetime import timedelta

from ._instruments import Instrument, InstrumentSet

__all__ = ["PROCESS_INSTRUMENTS", "ProcessMetrics"]

PROCESS_INSTRUMENTS = (
    Instrument(
        "histogram",
        "log.commit.duration",
        "s",
        "From the proposal of a command to its commit.",
    ),
    Instrument(
        "histogram",
        "config.in_force.duration",
        "s",
        "From the acceptance of a change until it is in force.",
    ),
    Instrument(
        "histogram",
        "placement.round.duration",
        "s",
        "Time that the leader takes for a round of placement.",
    ),
    Instrument(
        "histogram",
        "event.loop.lag.duration",
        "s",
        "How late the timers of the leader fire.",
    ),
    Instrument(
        "histogram",
        "gc.pause.duration",
        "s",
        "Pauses of the garbage collector, by generation.",
    ),
    Instrument(
        "gauge", "memory.body.usage", "By", "Memory that bodies use of their budget."
    ),
    Instrument(
        "gauge", "memory.job.usage", "By", "Memory that jobs use of their limit."
    ),
    Instrument(
        "counter",
        "memory.refusals",
        "{refusal}",
        "Bodies, connections and jobs refused or closed for lack of memory, by cause.",
    ),
    Instrument(
        "counter", "event.dropped", "{event}", "Events that the log could not take."
    ),
)


class ProcessMetrics(InstrumentSet):
    """Metrics of a process, whatever it serves."""

    __slots__ = ()

    def record_commit(self, *, duration: timedelta) -> None:
        """Record the time from the proposal of a command to its commit."""
        self._record("log.commit.duration", duration, {})

    def record_in_force(self, *, duration: timedelta) -> None:
        """Record the time from the acceptance of a change until it is in force."""
        self._record("config.in_force.duration", duration, {})

    def record_placement_round(self, *, duration: timedelta) -> None:
        """Record how long a round of placement took."""
        self._record("placement.round.duration", duration, {})

    def record_loop_lag(self, *, duration: timedelta) -> None:
        """Record how late a timer of the leader has fired."""
        self._record("event.loop.lag.duration", duration, {})

    def record_gc_pause(self, *, generation: int, duration: timedelta) -> None:
        """Record how long a garbage collection has paused the process."""
        attributes = {"cpython.gc.generation": generation}
        self._record("gc.pause.duration", duration, attributes)

    def set_body_usage(self, n_bytes: int) -> None:
        """Set the bytes that bodies use of the memory set aside for them."""
        self._instruments["memory.body.usage"].set(n_bytes)

    def set_job_usage(self, n_bytes: int) -> None:
        """Set the bytes of the jobs in the replicated state."""
        self._instruments["memory.job.usage"].set(n_bytes)

    def add_memory_refusals(self, count: int, *, cause: str) -> None:
        """Count what was refused for lack of memory: bodies, connections, jobs, VMs."""
        self._instruments["memory.refusals"].add(count, {"redwingslip.cause": cause})

    def add_dropped_events(self, count: int) -> None:
        """Count events that the log dropped."""
        self._instruments["event.dropped"].add(count)
