"""The gateway daemon: takes callers' calls and passes them on to the leader."""

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..http import HttpServer
from ..observe import Event, EventName, EventSink
from ..peers import LeaderReport, Message, RelayedAnswer, RelayedCall
from ..platform import caller_app, readiness_app
from ._fleet_settings import GatewaySettings
from ._metrics_server import MetricsServer
from ._process import ProcessCore
from ._relay import LeaderRelay
from .exceptions import AnswerUnknownError, NoLeaderKnownError

__all__ = ["GatewayApp", "refuse"]

# The time that an election takes, rounded up to what Retry-After can say.
RETRY_AFTER_S = 1
NOT_RUN_BODY = b'{"error":"no leader; the call had no effect"}'
UNKNOWN_BODY = b'{"error":"no answer; the outcome is not known"}'


class GatewayApp:
    """A gateway, from its settings to its end.

    Parameters
    ----------
    cfg : GatewaySettings
        Its settings.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        *,
        clock: Clock | None = None,
        events: EventSink | None = None,
    ) -> None:
        self.cfg = cfg
        self._core = ProcessCore(
            cfg, clock=clock, events=events, on_message=self._on_message
        )
        self.relay = LeaderRelay(
            cfg=cfg.relay,
            seeds=cfg.seed_ids,
            send=self._core.send,
            clock=self._core.clock,
            events=self._core.events,
        )
        self._metrics_server = MetricsServer(cfg.metrics)
        self._is_stopping = False
        self._task: asyncio.Task | None = None
        patience = cfg.relay.caller_patience
        app = caller_app(self._exchange, cfg.http, patience)
        self._server = _server(app, cfg, cfg.listen.calls)
        self._readiness = _server(
            readiness_app(self.is_ready), cfg, cfg.listen.readiness
        )

    def is_ready(self) -> bool:
        """Return whether new connections are wanted."""
        return self.relay.has_leader and not self._is_stopping

    async def start(self) -> None:
        """Listen, and look for the leader."""
        await self._core.start()
        self._task = asyncio.create_task(self.relay.run(), name="relay")
        await self._server.start()
        await self._readiness.start()
        await self._metrics_server.start()
        self._core.report_start("")

    def reload(self, cfg: GatewaySettings) -> None:
        """Take over changed settings: the replicas to ask first."""
        self.relay.add_replicas(cfg.seed_ids)
        self._core.emit(EventName.SETTINGS_RELOADED, detail=",".join(cfg.seed_ids))

    async def stop(self) -> None:
        """Say that no connections are wanted, finish what has begun, and stop."""
        self._is_stopping = True
        await self._server.stop(self.cfg.drain.grace)
        await self._readiness.stop(timedelta(0))
        await self._metrics_server.stop()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._core.stop()

    async def _exchange(self, call: RelayedCall, patience: timedelta) -> RelayedAnswer:
        began_at = self._core.clock.monotonic()
        try:
            answer = await self.relay.exchange(call, patience)
        except (NoLeaderKnownError, AnswerUnknownError) as exc:
            answer = refuse(call, exc, self._core.events)
        self._core.metrics.record_relayed_call(
            method=call.method,
            status=answer.status,
            duration=self._core.clock.monotonic() - began_at,
        )
        return answer

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, RelayedAnswer):
            self.relay.receive_answer(sender_id, msg)
        elif isinstance(msg, LeaderReport):
            self.relay.receive_report(sender_id, msg)


def _server(app, cfg: GatewaySettings, address: str) -> HttpServer:
    host, _, port = address.rpartition(":")
    return HttpServer(app, cfg.http, host=host, port=int(port))


def refuse(call: RelayedCall, exc: Exception, events: EventSink) -> RelayedAnswer:
    """Return, and log, the answer to a call that no leader answered."""
    is_unknown = isinstance(exc, AnswerUnknownError)
    status = 504 if is_unknown else 503
    events.emit(
        Event(
            name=EventName.CALL_REFUSED,
            request_id=call.request_id,
            status=status,
            detail=f"{call.method} {call.path}: {exc}",
        )
    )
    if is_unknown:
        return RelayedAnswer(number=0, status=status, body=UNKNOWN_BODY)
    return RelayedAnswer(
        number=0, status=status, body=NOT_RUN_BODY, retry_after_s=RETRY_AFTER_S
    )
