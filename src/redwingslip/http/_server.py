"""An HTTP server that runs within the event loop of its process."""

import asyncio
import contextlib
import enum
import socket
import ssl
from collections import Counter
from datetime import timedelta

import h11
import msgspec
import uvicorn
from starlette.applications import Starlette
from uvicorn.protocols.http.h11_impl import H11Protocol

from ._bodies import CLAIM_KEY
from ._body_budget import BodyClaim, RefusalCause
from ._connection_table import Idleness
from ._limits import HttpLimits, TlsFiles
from ._problems import NOT_RUN, PROBLEM_TYPE, Problem
from ._server_memory import ServerMemory
from .exceptions import BodyRefusedError

__all__ = ["HttpServer"]

BACKLOG = 1_024
# Size of the kernel's buffer of received bytes of a connection; Linux doubles it.
RECEIVE_BUFFER_BYTES = 64 << 10
# Bytes that one read takes, that a request may hold before its handler reads them, and
# that an answer may hold before its memory is counted.
READ_BYTES = 16 << 10

_BAD_REQUEST_BODY = msgspec.json.encode(
    Problem(
        status=400,
        title="bad request",
        detail="not an HTTP/1.1 request, or its head is too long",
        field="head",
        outcome=NOT_RUN,
    )
)

_BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Content-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
    % (PROBLEM_TYPE.encode(), len(_BAD_REQUEST_BODY), _BAD_REQUEST_BODY)
)


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


class _Phase(enum.Enum):
    """What the server waits for on a connection."""

    HEAD = "head"
    ANSWER = "answer"
    REST_OF_BODY = "rest of body"
    NOTHING = "nothing"


class _LimitedProtocol(H11Protocol):
    """Closes connections above the limits, and those whose requests are too slow.

    Each server has its own subclass, whose class attributes hold the limits of the
    server and its number of connections per peer.
    """

    limits: HttpLimits
    n_of_peer: Counter[str]
    memory: ServerMemory

    def connection_made(self, transport) -> None:
        """Count the connection; close it if there are too many."""
        # The library reads up to 256 KiB at once, which h11 then holds; TLS has buffers
        # of its own.
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=READ_BYTES)
        peer = transport.get_extra_info("peername")
        self.peer = peer[0] if peer else ""
        self.phase = _Phase.NOTHING
        self.timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None
        self.unread_answer: BodyClaim | None = None
        self.n_of_peer[self.peer] += 1
        super().connection_made(transport)
        self.set_timer()
        too_many = self.n_of_peer[self.peer] > self.limits.max_connections_per_peer
        if too_many or not self.memory.connections.admit(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process received bytes, and update the timer of the phase."""
        super().data_received(data)
        if self.cycle is not None and len(self.cycle.body) > READ_BYTES:
            self.flow.pause_reading()
        self.set_timer()

    def on_response_complete(self) -> None:
        """Start the next request, and update the timer of the phase."""
        # An idle connection must not keep what its last handler didn't read.
        self.cycle.body = bytearray()
        super().on_response_complete()
        self.set_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers, and remove the connection from the counts."""
        for timer in (self.timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.release_answer()
        self.memory.connections.remove(self)
        self.n_of_peer[self.peer] -= 1
        if not self.n_of_peer[self.peer]:
            del self.n_of_peer[self.peer]
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Pause the answer; close the connection if the peer reads nothing in time."""
        super().pause_writing()
        self.write_timer = self.abort_after(self.limits.body_timeout)
        claim = self.memory.bodies.claim()
        claim.drop_cause = RefusalCause.UNREAD_ANSWER
        claim.on_drop = self.transport.abort
        claim.count_unsent = self.transport.get_write_buffer_size
        self.unread_answer = claim
        try:
            claim.reserve(
                self.transport.get_write_buffer_size(), RefusalCause.UNREAD_ANSWER
            )
        except BodyRefusedError:
            self.transport.abort()

    def resume_writing(self) -> None:
        """Continue the answer, and cancel the timer."""
        super().resume_writing()
        self.release_answer()
        if self.write_timer is not None:
            self.write_timer.cancel()

    def release_answer(self) -> None:
        """Free the memory of an answer that was sent or given up."""
        if self.unread_answer is not None:
            self.unread_answer.release()
            self.unread_answer = None

    def idleness(self) -> Idleness:
        """Return how far the connection can be given up for a new one."""
        claim = self.cycle.scope.get(CLAIM_KEY) if self.cycle is not None else None
        match self.current_phase():
            case _Phase.HEAD:
                return Idleness.WAITING_FOR_HEAD
            case _Phase.NOTHING if self.unread_answer is None:
                return Idleness.BETWEEN_REQUESTS
            case _Phase.REST_OF_BODY if self.unread_answer is None:
                return Idleness.REST_OF_BODY
            case _Phase.ANSWER if self.memory.bodies.is_stalled(claim):
                return Idleness.STALLED_BODY
        return Idleness.IN_USE

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Refuse input that is not an HTTP request, then close the connection."""
        self.transport.write(_BAD_REQUEST)
        self.transport.close()

    def set_timer(self) -> None:
        """Start the timer of a new phase.

        Further bytes within the same phase do not extend its timer.
        """
        phase = self.current_phase()
        if phase is self.phase or self.transport.is_closing():
            return
        self.phase = phase
        if self.timer is not None:
            self.timer.cancel()
        if phase is _Phase.HEAD:
            self.timer = self.abort_after(self.limits.header_timeout)
        elif phase is _Phase.REST_OF_BODY:
            self.timer = self.abort_after(self.limits.body_timeout)

    def current_phase(self) -> _Phase:
        """Return the phase that the connection is in.

        After an early answer the rest of the request body is read and dropped for up
        to the body timeout. Closing the connection immediately would reset it, and
        the client could lose the answer.
        """
        if self.cycle is not None and not self.cycle.response_complete:
            return _Phase.ANSWER
        if self.conn.their_state is h11.SEND_BODY:
            return _Phase.REST_OF_BODY
        if self.cycle is None or self.conn.trailing_data[0]:
            return _Phase.HEAD
        return _Phase.NOTHING

    def abort_after(self, timeout: timedelta) -> asyncio.TimerHandle:
        """Return a timer that closes the connection after `timeout`."""
        return self.loop.call_later(timeout.total_seconds(), self.transport.abort)


def _limited_protocol(cfg: HttpLimits, memory: ServerMemory) -> type[H11Protocol]:
    """Return a protocol class with the limits and counts of one server."""
    counts: Counter[str] = Counter()
    namespace = {"limits": cfg, "n_of_peer": counts, "memory": memory}
    return type("LimitedProtocol", (_LimitedProtocol,), namespace)


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
        _abort_connections(server)
        if server.server_state.tasks:
            await asyncio.wait(set(server.server_state.tasks))

    def reload_tls(self) -> None:
        """Read the TLS files again, for use by new connections."""
        _load_tls(self._server.config.ssl, self._tls)

    def _config(self) -> uvicorn.Config:
        config = uvicorn.Config(
            self._app,
            loop="asyncio",
            http=_limited_protocol(self._cfg, self._memory),
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
        if self._tls is not None:
            config.ssl = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            _load_tls(config.ssl, self._tls)
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
