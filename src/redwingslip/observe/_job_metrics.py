"""Metrics of jobs: their starts, runs, refusals and waits."""

from datetime import timedelta

from ._instruments import Instrument, InstrumentSet

__all__ = ["JOB_INSTRUMENTS", "JobMetrics"]

JOB_INSTRUMENTS = (
    Instrument(
        "histogram",
        "job.start.wait.duration",
        "s",
        "From the acceptance of a job to the first start of a task.",
    ),
    Instrument(
        "counter",
        "run.starts",
        "{run}",
        "Orders to start a run, by what the VM did with them.",
    ),
    Instrument("counter", "run.ends", "{run}", "Runs that ended, by how."),
    Instrument(
        "counter",
        "rack.waits",
        "{wait}",
        "Waits of tasks for places in the rack of their data, begun and ended.",
    ),
    Instrument(
        "counter",
        "rack.wait.saved",
        "s",
        "Run time that places in racks have saved, less the waits for them.",
    ),
    Instrument(
        "counter",
        "rack.wait.lost",
        "s",
        "Waits for places in racks beyond what these have saved.",
    ),
    Instrument(
        "gauge",
        "job.deferred",
        "{job}",
        "Jobs that go after others, since their pool can't run all of them in time.",
    ),
    Instrument(
        "counter",
        "job.refusals",
        "{job}",
        "Jobs refused for lack of room in time, by pool and cause.",
    ),
)


class JobMetrics(InstrumentSet):
    """Metrics of jobs and of the runs of their tasks."""

    __slots__ = ()

    def record_start_wait(self, *, queue: str, duration: timedelta) -> None:
        """Record how long a job waited for the first start of a task."""
        self._record("job.start.wait.duration", duration, {"redwingslip.queue": queue})

    def add_run_start(self, *, outcome: str) -> None:
        """Count an order to start a run, by its outcome."""
        self._instruments["run.starts"].add(
            1, self._limit_values({"redwingslip.outcome": outcome})
        )

    def add_run_end(self, *, kind: str) -> None:
        """Count the end of a run, by the kind of end."""
        self._instruments["run.ends"].add(
            1, self._limit_values({"redwingslip.outcome": kind})
        )

    def set_deferred_jobs(self, count: int, *, pool: str) -> None:
        """Set the number of a pool's jobs that are deferred."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["job.deferred"].set(count, attributes)

    def add_job_refusal(self, *, pool: str, cause: str) -> None:
        """Count a job that was refused: for its `share`, or for lack of `capacity`."""
        attributes = {"redwingslip.pool": pool, "redwingslip.cause": cause}
        self._instruments["job.refusals"].add(1, self._limit_values(attributes))

    def add_rack_wait(self, *, outcome: str) -> None:
        """Count a wait that has `begun`, or ended `near`, `far` or `dropped`."""
        self._instruments["rack.waits"].add(1, {"redwingslip.outcome": outcome})

    def add_rack_wait_time(self, gained: timedelta) -> None:
        """Add the time that a wait has gained, negative for one that was in vain."""
        name = "rack.wait.saved" if gained >= timedelta(0) else "rack.wait.lost"
        self._instruments[name].add(abs(gained.total_seconds()))
