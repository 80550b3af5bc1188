"""The gateway daemon: accepts callers' calls and forwards them to the leader."""

import asyncio
from datetime import timedelta

from ..http import HttpServer
from ..peers import CallSource
from ..platform import readiness_app
from ..submitters import submitter_app
from ._fleet_app import FleetApp
from ._fleet_settings import GatewaySettings
from ._start_faults import listening

__all__ = ["GatewayApp"]


class GatewayApp(FleetApp):
    """A gateway; see `DaemonApp`."""

    cfg: GatewaySettings

    def _build(self) -> None:
        super()._build()
        self._is_stopping = False
        patience = self.cfg.relay.caller_patience
        self._call_server = self._new_call_server(CallSource.CALLERS, patience)
        self._readiness_server = self._new_readiness_server()
        self._submitter_server = self._new_submitter_server()

    def _new_readiness_server(self) -> HttpServer | None:
        """Return the server that reports readiness, or None if it is off."""
        address = self.cfg.listen.readiness
        if address is None:
            return None
        return self._new_server(readiness_app(self.is_ready), address)

    def _new_submitter_server(self) -> HttpServer | None:
        """Return the server of the product's own interface, or None if it is off."""
        address = self.cfg.listen.submitters
        if address is None:
            return None
        app = submitter_app(
            self._relay_call, self.cfg.http, self.cfg.relay.caller_patience
        )
        return self._new_server(app, address)

    def is_ready(self) -> bool:
        """Return whether new connections are accepted."""
        return self.relay.has_leader and not self._is_stopping

    async def start(self) -> None:
        """Start to listen and to search for the leader."""
        await self._start_core()
        for option, server in (
            ("calls", self._call_server),
            ("readiness", self._readiness_server),
            ("submitters", self._submitter_server),
        ):
            if server is not None:
                with listening("listen", option, getattr(self.cfg.listen, option)):
                    await server.start()
        self._core.report_start("")

    async def stop(self) -> None:
        """Report as not ready, finish the calls in progress, and stop."""
        self._is_stopping = True
        servers = [
            s for s in (self._call_server, self._submitter_server) if s is not None
        ]
        await asyncio.gather(*(s.stop(self.cfg.drain.grace) for s in servers))
        if self._readiness_server is not None:
            await self._readiness_server.stop(timedelta(0))
        await self._stop_core()
