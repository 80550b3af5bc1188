"""Base of gateways and controllers, which relays calls and serves metrics."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta

from starlette.applications import Starlette

from .. import control, platform, submitters
from ..http import HttpServer, RefusalCause, ServerMemory
from ..observe import Event, EventName
from ..peers import CallSource, LeaderReport, Message, RelayedAnswer, RelayedCall
from ..relay import LeaderRelay, RelayBusyError, RelayError
from ._fleet_settings import FleetSettings
from ._memory_report import report_memory
from ._metrics_server import MetricsServer
from ._process import DaemonApp
from ._start_faults import listening

__all__ = ["FIRST_ERROR_STATUS", "FleetApp", "new_relay_error_answer"]

FIRST_ERROR_STATUS = 400


class FleetApp(DaemonApp):
    """Base of the daemons that relay calls to the leader; see `DaemonApp`."""

    cfg: FleetSettings

    def _build(self) -> None:
        self._tasks: set[asyncio.Task] = set()
        self._memory = ServerMemory(self.cfg.http, clock=self._clock)
        self._memory_report = report_memory(self._memory, self._core)
        self._metrics_server = MetricsServer(self.cfg.metrics, memory=self._memory)
        self.relay = LeaderRelay(
            cfg=self.cfg.relay,
            seeds=(*self.cfg.seed_ids, self.cfg.peers.listen),
            send=self._core.send,
            clock=self._clock,
            events=self._events,
        )

    def _new_call_server(self, source: CallSource, patience: timedelta) -> HttpServer:
        """Return an HTTP server that relays calls to the leader.

        Parameters
        ----------
        source : CallSource
            Who sends the calls.
        patience : timedelta
            How long a call is tried before it is answered with an error.
        """
        app = platform.relay_app(source, self._relay_call, self.cfg.http, patience)
        return self._new_server(app, self.cfg.listen.calls)

    def _new_server(self, app: Starlette, address: str) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer(
            app, self.cfg.http, host=host, port=int(port), memory=self._memory
        )

    async def _start_core(self) -> None:
        """Listen for peers, serve metrics, and start to search for the leader."""
        await self._core.start()
        with listening("metrics", "listen", self.cfg.metrics.listen):
            await self._metrics_server.start()
        self._spawn(self.relay.run())

    async def _stop_core(self) -> None:
        """Cancel the background tasks and close the metrics server and the links."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._metrics_server.stop()
        await self._core.stop()

    def reload(self, cfg: FleetSettings) -> None:
        """Apply changed settings: the addresses of the seeds."""
        self.relay.add_replicas(cfg.seed_ids)
        self._core.emit(EventName.SETTINGS_RELOADED, detail=",".join(cfg.seed_ids))

    def report_invalid(self, detail: str) -> None:
        """Log why changed settings are not applied."""
        self._core.emit(
            EventName.WARNING, detail=f"changed settings are not applied: {detail}"
        )

    async def _relay_call(
        self, call: RelayedCall, patience: timedelta
    ) -> RelayedAnswer:
        """Return the leader's answer to a call, or an error, and record the call."""
        started_at = self._clock.monotonic()
        try:
            answer = await self.relay.exchange(call, patience)
        except RelayError as exc:
            answer = new_relay_error_answer(call, exc)
            if isinstance(exc, RelayBusyError):
                self._memory_report.add(RefusalCause.LINK)
            else:
                self._log_refusal(call, answer, str(exc))
        self._core.metrics.record_relayed_call(
            method=call.method,
            status=answer.status,
            duration=self._clock.monotonic() - started_at,
        )
        return answer

    def _log_refusal(
        self, call: RelayedCall, answer: RelayedAnswer, reason: str
    ) -> None:
        event = Event(
            name=EventName.CALL_REFUSED,
            request_id=call.request_id,
            status=answer.status,
            detail=f"{call.method} {call.path}: {reason}",
        )
        self._events.emit(event)

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, RelayedAnswer):
            self.relay.receive_answer(sender_id, msg)
        elif isinstance(msg, LeaderReport):
            self.relay.receive_report(sender_id, msg)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def new_relay_error_answer(call: RelayedCall, exc: RelayError) -> RelayedAnswer:
    """Return the error for a call that no leader answered, in its caller's format."""
    if call.source is CallSource.SUBMITTERS:
        return submitters.relay_error_answer(call, exc)
    if call.source is CallSource.OPERATORS:
        return control.relay_error_answer(call, exc)
    return platform.relay_error_answer(call, exc)
