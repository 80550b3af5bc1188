"""HTTP server from which collectors fetch a process's metrics."""

from datetime import timedelta

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..http import HttpLimits, HttpServer, ServerMemory, build_app
from ..observe import metrics_text
from ..settings import ExporterKind, MetricsSettings

__all__ = ["MetricsServer"]

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsServer:
    """Serves ``/metrics`` if the settings select the Prometheus exporter.

    Parameters
    ----------
    cfg : MetricsSettings
        The exporter and its address.
    memory : ServerMemory or None
        Memory that the server shares with the other servers of its process.
    """

    __slots__ = ("_server",)

    def __init__(
        self, cfg: MetricsSettings, *, memory: ServerMemory | None = None
    ) -> None:
        self._server: HttpServer | None = None
        if cfg.exporter is ExporterKind.PROMETHEUS:
            host, _, port = cfg.listen.rpartition(":")
            app = build_app([Route("/metrics", _serve_metrics, methods=["GET"])])
            self._server = HttpServer(
                app, HttpLimits(), host=host, port=int(port), memory=memory
            )

    @property
    def address(self) -> str:
        """Return host and port, or an empty string when nothing is served."""
        return "" if self._server is None else self._server.address

    async def start(self) -> None:
        """Start to listen, if metrics are served."""
        if self._server is not None:
            await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(timedelta(0))


async def _serve_metrics(req: Request) -> Response:
    return Response(metrics_text(), media_type=METRICS_CONTENT_TYPE)
