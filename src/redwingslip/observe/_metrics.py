"""OpenTelemetry metrics, named and measured by its semantic conventions.

The values of attributes are names that operators declared and outcomes from short
lists, never the ids of requests. The SDK is imported only when an exporter is set, to
save memory.
"""

from datetime import timedelta
from typing import Any, NamedTuple

from ..settings import ExporterKind, MetricsSettings

__all__ = ["Metrics", "metrics_text", "new_metrics"]

MAX_ATTRIBUTE_VALUES = 500
OTHER_VALUE = "other"

MILLISECONDS_PER_SECOND = 1_000


class _NullInstrument:
    """An instrument that discards every value, for use without an exporter."""

    __slots__ = ()

    def add(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a count."""

    def set(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a value."""

    def record(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a measurement."""


class _NullMeter:
    """Creates instruments that discard every value."""

    __slots__ = ()

    def create_counter(self, name: str, **options: str) -> _NullInstrument:
        """Return an instrument that discards every value."""
        return _NullInstrument()

    create_gauge = create_counter
    create_histogram = create_counter


class _Instrument(NamedTuple):
    """Kind, name, unit and description of an instrument."""

    kind: str
    name: str
    unit: str
    description: str


_INSTRUMENTS = (
    _Instrument(
        "histogram",
        "request.duration",
        "s",
        "From the receipt of a caller's request to its answer.",
    ),
    _Instrument(
        "histogram",
        "call.duration",
        "s",
        "From the start of an endpoint's call to its end.",
    ),
    _Instrument(
        "histogram",
        "permit.wait.duration",
        "s",
        "From the request for a permit to its grant.",
    ),
    _Instrument("gauge", "slot.usage", "{slot}", "Slots in use."),
    _Instrument("gauge", "slot.limit", "{slot}", "Slots that serve."),
    _Instrument("counter", "vm.moves", "{vm}", "VMs that changed pools."),
    _Instrument(
        "histogram",
        "log.commit.duration",
        "s",
        "From the proposal of a command to its commit.",
    ),
    _Instrument(
        "histogram",
        "config.in_force.duration",
        "s",
        "From the acceptance of a change until it is in force.",
    ),
    _Instrument(
        "histogram",
        "relayed_call.duration",
        "s",
        "From the receipt of a call at a gateway to its answer.",
    ),
    _Instrument(
        "histogram",
        "job.start.wait.duration",
        "s",
        "From the acceptance of a job to the first start of a task.",
    ),
    _Instrument(
        "histogram",
        "placement.round.duration",
        "s",
        "Time that the leader takes for a round of placement.",
    ),
    _Instrument(
        "histogram",
        "event.loop.lag.duration",
        "s",
        "How late the timers of the leader fire.",
    ),
    _Instrument(
        "histogram",
        "gc.pause.duration",
        "s",
        "Pauses of the garbage collector, by generation.",
    ),
    _Instrument(
        "counter",
        "run.starts",
        "{run}",
        "Orders to start a run, by what the VM did with them.",
    ),
    _Instrument("counter", "run.ends", "{run}", "Runs that ended, by how."),
    _Instrument(
        "counter",
        "vm.silences",
        "{silence}",
        "Leases of silent VMs that expired, and such VMs that answered again.",
    ),
    _Instrument(
        "counter",
        "machine.orders",
        "{order}",
        "Moves and maintenances that were ordered, by outcome.",
    ),
    _Instrument(
        "counter",
        "rack.waits",
        "{wait}",
        "Waits of tasks for places in the rack of their data, begun and ended.",
    ),
    _Instrument(
        "counter",
        "rack.wait.saved",
        "s",
        "Run time that places in racks have saved, less the waits for them.",
    ),
    _Instrument(
        "counter",
        "rack.wait.lost",
        "s",
        "Waits for places in racks beyond what these have saved.",
    ),
    _Instrument(
        "gauge", "pool.vms.slow", "{vm}", "VMs of a pool that are slower than others."
    ),
    _Instrument("gauge", "pool.speed", "1", "Mean speed of the VMs of a pool."),
    _Instrument(
        "counter",
        "vm.calls",
        "{call}",
        "Calls of VMs, by whether the leader or a delegate makes them.",
    ),
    _Instrument(
        "gauge",
        "evacuation.vms",
        "{vm}",
        "VMs in data centres that are being evacuated.",
    ),
    _Instrument(
        "gauge",
        "evacuation.tasks",
        "{task}",
        "Long-running tasks in data centres that are being evacuated.",
    ),
    _Instrument(
        "gauge",
        "pool.demand.expected",
        "{core}",
        "Cores that a pool needs, or will need in its next rise.",
    ),
    _Instrument(
        "gauge", "pool.demand.seen", "{core}", "Cores that a pool needs at present."
    ),
    _Instrument(
        "gauge", "pool.reserve", "{core}", "Cores that a pool keeps beyond its demand."
    ),
    _Instrument(
        "counter",
        "rise.predictions",
        "{rise}",
        "Predicted rises of pools, by whether they came.",
    ),
    _Instrument(
        "gauge",
        "job.deferred",
        "{job}",
        "Jobs that go after others, since their pool can't run all of them in time.",
    ),
    _Instrument(
        "counter",
        "job.refusals",
        "{job}",
        "Jobs refused for lack of room in time, by pool and cause.",
    ),
    _Instrument(
        "gauge", "memory.body.usage", "By", "Memory that bodies use of their budget."
    ),
    _Instrument(
        "counter",
        "memory.refusals",
        "{refusal}",
        "Bodies and connections refused or closed for lack of memory, by cause.",
    ),
    _Instrument(
        "counter", "event.dropped", "{event}", "Events that the log could not take."
    ),
)


def _create_instrument(meter: Any, instrument: _Instrument) -> Any:
    """Create an instrument with a meter."""
    create = getattr(meter, f"create_{instrument.kind}")
    return create(
        f"redwingslip.{instrument.name}",
        unit=instrument.unit,
        description=instrument.description,
    )


class Metrics:
    """The metrics of a process.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Creates the instruments.
    provider : opentelemetry.sdk.metrics.MeterProvider or None
        The provider that `close` shuts down.
    """

    __slots__ = ("_instruments", "_provider", "_seen_values")

    def __init__(self, meter: Any, provider: Any = None) -> None:
        self._provider = provider
        self._seen_values: dict[str, set[str]] = {}
        self._instruments = {
            instrument.name: _create_instrument(meter, instrument)
            for instrument in _INSTRUMENTS
        }

    def record_request(self, *, queue: str, outcome: str, duration: timedelta) -> None:
        """Record how long a caller's request took, with its outcome."""
        attributes = {"redwingslip.queue": queue, "redwingslip.outcome": outcome}
        self._record("request.duration", duration, attributes)

    def record_call(self, *, pool: str, outcome: str, duration: timedelta) -> None:
        """Record how long a call to an endpoint took, with its outcome."""
        attributes = {"redwingslip.pool": pool, "redwingslip.outcome": outcome}
        self._record("call.duration", duration, attributes)

    def record_permit_wait(
        self, *, pool: str, urgent: bool, duration: timedelta
    ) -> None:
        """Record the time from the request for a permit to its grant."""
        attributes = {"redwingslip.pool": pool, "redwingslip.urgent": urgent}
        self._record("permit.wait.duration", duration, attributes)

    def record_commit(self, *, duration: timedelta) -> None:
        """Record the time from the proposal of a command to its commit."""
        self._record("log.commit.duration", duration, {})

    def record_in_force(self, *, duration: timedelta) -> None:
        """Record the time from the acceptance of a change until it is in force."""
        self._record("config.in_force.duration", duration, {})

    def set_slots(self, *, pool: str, n_used: int, n_serving: int) -> None:
        """Set the numbers of used and of serving slots of a pool."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["slot.usage"].set(n_used, attributes)
        self._instruments["slot.limit"].set(n_serving, attributes)

    def add_move(self, *, pool: str) -> None:
        """Count a VM that moved into a pool."""
        self._instruments["vm.moves"].add(
            1, self._limit_values({"redwingslip.pool": pool})
        )

    def record_relayed_call(
        self, *, method: str, status: int, duration: timedelta
    ) -> None:
        """Record how long a gateway took to answer a call."""
        attributes = {
            "http.request.method": method,
            "http.response.status_code": str(status),
        }
        self._record("relayed_call.duration", duration, attributes)

    def record_start_wait(self, *, queue: str, duration: timedelta) -> None:
        """Record how long a job waited for the first start of a task."""
        self._record("job.start.wait.duration", duration, {"redwingslip.queue": queue})

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

    def add_vm_silence(self, *, outcome: str) -> None:
        """Count a silent VM: `expired` with its lease, or `answered` later."""
        attributes = {"redwingslip.outcome": outcome}
        self._instruments["vm.silences"].add(1, attributes)

    def add_machine_order(self, *, kind: str, outcome: str) -> None:
        """Count a move or maintenance order for a machine, by its outcome."""
        attributes = {"redwingslip.order": kind, "redwingslip.outcome": outcome}
        self._instruments["machine.orders"].add(1, self._limit_values(attributes))

    def set_forecast(
        self, *, pool: str, expected: int, seen: int, reserve: int
    ) -> None:
        """Set the demand and the reserve of a pool, in thousandths of a core."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["pool.demand.expected"].set(expected / 1000, attributes)
        self._instruments["pool.demand.seen"].set(seen / 1000, attributes)
        self._instruments["pool.reserve"].set(reserve / 1000, attributes)

    def add_prediction(self, *, pool: str, outcome: str) -> None:
        """Count a predicted rise of a pool: `right` if it came, else `missed`."""
        attributes = {"redwingslip.pool": pool, "redwingslip.outcome": outcome}
        self._instruments["rise.predictions"].add(1, self._limit_values(attributes))

    def add_rack_wait(self, *, outcome: str) -> None:
        """Count a wait that has `begun`, or ended `near`, `far` or `dropped`."""
        self._instruments["rack.waits"].add(1, {"redwingslip.outcome": outcome})

    def add_rack_wait_time(self, gained: timedelta) -> None:
        """Add the time that a wait has gained, negative for one that was in vain."""
        name = "rack.wait.saved" if gained >= timedelta(0) else "rack.wait.lost"
        self._instruments[name].add(abs(gained.total_seconds()))

    def set_vm_speeds(self, *, pool: str, n_slow: int, mean: float) -> None:
        """Set the number of a pool's slow VMs, and the mean speed of all its VMs."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["pool.vms.slow"].set(n_slow, attributes)
        self._instruments["pool.speed"].set(mean, attributes)

    def add_vm_calls(self, count: int, *, caller: str) -> None:
        """Count calls of VMs that the leader or its delegates make."""
        if count:
            self._instruments["vm.calls"].add(count, {"redwingslip.caller": caller})

    def set_evacuation(self, *, data_centre: str, n_vms: int, n_tasks: int) -> None:
        """Set the numbers of VMs and of long-running tasks in a data centre."""
        attributes = self._limit_values({"redwingslip.data_centre": data_centre})
        self._instruments["evacuation.vms"].set(n_vms, attributes)
        self._instruments["evacuation.tasks"].set(n_tasks, attributes)

    def set_deferred_jobs(self, count: int, *, pool: str) -> None:
        """Set the number of a pool's jobs that are deferred."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["job.deferred"].set(count, attributes)

    def add_job_refusal(self, *, pool: str, cause: str) -> None:
        """Count a job that was refused: for its `share`, or for lack of `capacity`."""
        attributes = {"redwingslip.pool": pool, "redwingslip.cause": cause}
        self._instruments["job.refusals"].add(1, self._limit_values(attributes))

    def set_body_usage(self, n_bytes: int) -> None:
        """Set the bytes that bodies use of the memory set aside for them."""
        self._instruments["memory.body.usage"].set(n_bytes)

    def add_memory_refusals(self, count: int, *, cause: str) -> None:
        """Count bodies and connections that were refused for lack of memory."""
        self._instruments["memory.refusals"].add(count, {"redwingslip.cause": cause})

    def add_dropped_events(self, count: int) -> None:
        """Count events that the log dropped."""
        self._instruments["event.dropped"].add(count)

    def close(self) -> None:
        """Export the remaining measurements and stop exporting."""
        if self._provider is not None:
            self._provider.shutdown()

    def _record(self, name: str, duration: timedelta, attributes: dict) -> None:
        instrument = self._instruments[name]
        instrument.record(duration.total_seconds(), self._limit_values(attributes))

    def _limit_values(self, attributes: dict[str, Any]) -> dict[str, Any]:
        """Limit the number of distinct values of each attribute.

        Once an attribute has `MAX_ATTRIBUTE_VALUES` of them, every new value is
        replaced by ``other``.
        """
        limited = {}
        for key, value in attributes.items():
            seen = self._seen_values.setdefault(key, set())
            if value not in seen and len(seen) >= MAX_ATTRIBUTE_VALUES:
                value = OTHER_VALUE
            seen.add(value)
            limited[key] = value
        return limited


def new_metrics(cfg: MetricsSettings, *, process_id: str) -> Metrics:
    """Return the metrics of a process, with the exporter of its settings.

    Parameters
    ----------
    cfg : MetricsSettings
        Choice of exporter; with ``none`` the SDK is not imported.
    process_id : str
        Name of the process, exported as ``service.instance.id``.
    """
    if cfg.exporter is ExporterKind.NONE:
        return Metrics(_NullMeter())
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
    from opentelemetry.sdk.resources import Resource

    if cfg.exporter is ExporterKind.PROMETHEUS:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader

        reader = PrometheusMetricReader()
    else:
        interval = cfg.interval.total_seconds() * MILLISECONDS_PER_SECOND
        reader = PeriodicExportingMetricReader(
            _new_exporter(cfg), export_interval_millis=interval
        )
    resource = Resource(
        {"service.name": "redwingslip", "service.instance.id": process_id}
    )
    provider = MeterProvider([reader], resource=resource, shutdown_on_exit=False)
    return Metrics(provider.get_meter("redwingslip"), provider)


def metrics_text() -> bytes:
    """Return the metrics of the exporter ``prometheus`` in its text format."""
    from prometheus_client import generate_latest

    return generate_latest()


def _new_exporter(cfg: MetricsSettings) -> Any:
    from opentelemetry.sdk.metrics.export import ConsoleMetricExporter

    if cfg.exporter is ExporterKind.CONSOLE:
        return ConsoleMetricExporter()
    cfg.path.parent.mkdir(parents=True, exist_ok=True)
    return ConsoleMetricExporter(
        out=cfg.path.open("a", encoding="utf-8"),
        formatter=lambda data: data.to_json(indent=None) + "\n",
    )
