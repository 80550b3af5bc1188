"""An HTTP server that runs within the event loop of its process."""

import asyncio
import contextlib
import socket
import ssl
from datetime import timedelta

import uvicorn
from starlette.applications import Starlette

from ..handshakes import TlsHandshakes
from ._limited_protocol import limited_protocol
from ._limits import HttpLimits, TlsFiles
from ._server_memory import ServerMemory

__all__ = ["HttpServer"]

BACKLOG = 1_024
# Size of the kernel's buffer of received bytes of a connection; Linux doubles it.
RECEIVE_BUFFER_BYTES = 64 << 10
# With TLS, half as many handshakes as connections may be incomplete, and no fewer.
MIN_HANDSHAKES = 16


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers.

    The event `accepting` is set when the server accepts connections.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.accepting = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections, and set `accepting`."""
        await super().startup(sockets)
        self.accepting.set()


class HttpServer:
    """Serves an application until it is stopped.

    Parameters
    ----------
    app : Starlette
        The application, from `build_app`.
    cfg : HttpLimits
        Limits on clients.
    host : str
        IP address to listen on.
    port : int
        Port to listen on, 0 for any free one.
    tls : TlsFiles or None
        Files to serve TLS with; None for plain HTTP.
    memory : ServerMemory or None
        Memory that the server shares with the other servers of its process; by default
        it has its own.
    """

    __slots__ = (
        "_app",
        "_cfg",
        "_handshakes",
        "_memory",
        "_server",
        "_sock",
        "_task",
        "_tls",
        "host",
        "port",
    )

    def __init__(
        self,
        app: Starlette,
        cfg: HttpLimits,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        tls: TlsFiles | None = None,
        memory: ServerMemory | None = None,
    ) -> None:
        self._memory = memory or ServerMemory(cfg, is_encrypted=tls is not None)
        app.state.bodies = self._memory.bodies
        self._app = app
        self._cfg = cfg
        self._tls = tls
        self._handshakes: TlsHandshakes | None = None
        self._server: _Server | None = None
        self._sock: socket.socket | None = None
        self._task: asyncio.Task | None = None
        self.host = host
        self.port = port

    @property
    def address(self) -> str:
        """Return host and port in the form that URLs have."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    async def start(self) -> None:
        """Start to listen, and set `port` to the bound port."""
        self._app.state.is_stopping = False
        sock = _listening_socket(self.host, self.port)
        self._sock = sock
        self.port = sock.getsockname()[1]
        self._server = _Server(self._config())
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))
        accepting = asyncio.create_task(self._server.accepting.wait())
        await asyncio.wait({accepting, self._task}, return_when=asyncio.FIRST_COMPLETED)
        accepting.cancel()
        if self._task.done():
            await self._task

    def start_draining(self) -> None:
        """Add ``Connection: close`` to all further answers, as `stop` does too."""
        self._app.state.is_stopping = True

    async def stop(self, grace: timedelta) -> None:
        """Stop the server gracefully.

        The server accepts requests until the drain time is over, then closes the
        listening socket and the idle connections. Closing them earlier would reset
        the connections of requests in flight. Requests that still run `grace` after
        that are cancelled.
        """
        if self._server is None:
            return
        self.start_draining()
        await asyncio.sleep(self._cfg.drain_time.total_seconds())
        server, self._server = self._server, None
        if server is not None:
            await self._finish(server, grace)

    async def abort(self) -> None:
        """Stop immediately, and abort every connection."""
        if self._server is None:
            return
        server, self._server = self._server, None
        for listener in server.servers:
            listener.close()
        _abort_connections(server)
        await self._finish(server, timedelta(0))

    async def _finish(self, server: _Server, grace: timedelta) -> None:
        """Shut the server down, and wait until all its requests have ended."""
        server.config.timeout_graceful_shutdown = grace.total_seconds()
        server.should_exit = True
        await self._task
        self._sock.close()
        if self._handshakes is not None:
            self._handshakes.close()
        _abort_connections(server)
        if server.server_state.tasks:
            await asyncio.wait(set(server.server_state.tasks))

    def reload_tls(self) -> None:
        """Read the TLS files again, for use by new connections."""
        _load_tls(self._handshakes.context, self._tls)

    def _new_handshakes(self) -> TlsHandshakes | None:
        """Return what performs the TLS handshakes; None for plain HTTP."""
        if self._tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        _load_tls(context, self._tls)
        max_connections = self._memory.connections.max_connections
        return TlsHandshakes(
            context,
            max_incomplete=max(MIN_HANDSHAKES, max_connections // 2),
            timeout=self._cfg.header_timeout,
        )

    def _config(self) -> uvicorn.Config:
        self._handshakes = self._new_handshakes()
        config = uvicorn.Config(
            self._app,
            loop="asyncio",
            http=limited_protocol(self._cfg, self._memory, self._handshakes),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            h11_max_incomplete_event_size=self._cfg.max_header_bytes,
            timeout_keep_alive=self._cfg.idle_timeout.total_seconds(),
        )
        config.load()
        return config


def _listening_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    The protocol is given explicitly, since asyncio disables Nagle's algorithm only for
    sockets whose protocol is TCP.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def _abort_connections(server: _Server) -> None:
    for conn in list(server.server_state.connections):
        conn.transport.abort()


def _load_tls(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.load_cert_chain(files.certificate, files.key)
    if files.ca:
        context.load_verify_locations(files.ca)
        context.verify_mode = ssl.CERT_REQUIRED
