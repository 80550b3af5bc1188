"""OpenTelemetry metrics, named and measured by its semantic conventions.

The SDK is imported only when an exporter is set, to save memory.
"""

from typing import Any

from ..settings import ExporterKind, MetricsSettings
from ._call_metrics import CALL_INSTRUMENTS, CallMetrics
from ._instruments import NullMeter
from ._job_metrics import JOB_INSTRUMENTS, JobMetrics
from ._pool_metrics import POOL_INSTRUMENTS, PoolMetrics
from ._process_metrics import PROCESS_INSTRUMENTS, ProcessMetrics

__all__ = ["Metrics", "metrics_text", "new_metrics"]

MILLISECONDS_PER_SECOND = 1_000
INSTRUMENTS = (
    *CALL_INSTRUMENTS,
    *JOB_INSTRUMENTS,
    *POOL_INSTRUMENTS,
    *PROCESS_INSTRUMENTS,
)


class Metrics(CallMetrics, JobMetrics, PoolMetrics, ProcessMetrics):
    """The metrics of a process.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Creates the instruments.
    provider : opentelemetry.sdk.metrics.MeterProvider or None
        The provider that `close` shuts down.
    """

    __slots__ = ("_provider",)

    def __init__(self, meter: Any, provider: Any = None) -> None:
        super().__init__(meter, INSTRUMENTS)
        self._provider = provider

    def close(self) -> None:
        """Export the remaining measurements and stop exporting."""
        if self._provider is not None:
            self._provider.shutdown()


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
        return Metrics(NullMeter())
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
