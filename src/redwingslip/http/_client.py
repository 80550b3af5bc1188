"""An HTTP client with a pool of connections, each used by one request at a time.

A connection is kept for reuse only after a complete answer. After any other outcome
its socket is closed immediately, so that a late answer can't be read as the answer to
a later request.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial

import aiosonic
import msgspec
from aiosonic.exceptions import ConnectionDisconnected, HttpParsingError
from aiosonic.pools import PoolConfig

from ._connections import NO_LIBRARY_TIMEOUTS, BoundedConnection
from ._limits import ClientLimits
from .exceptions import AnswerLostError, HttpError, NotConnectedError

__all__ = ["ClientAnswer", "ClientPool", "ClientRequest"]


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request; `address` is the host and port of the server."""

    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout: timedelta


class ClientAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer; the header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _NumericResolver:
    """A resolver for hosts that are IP addresses, which need no DNS look-up."""

    __slots__ = ()

    async def resolve(self, host: str, port: int, family: int = 0) -> list[dict]:
        """Return the host itself as its only address."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [
            {
                "hostname": host,
                "host": host,
                "port": port,
                "family": family,
                "proto": 0,
                "flags": socket.AI_NUMERICHOST,
            }
        ]

    async def close(self) -> None:
        """Do nothing; the resolver holds no resources."""


class _WatchedConnection(BoundedConnection):
    """A connection that detects unsolicited input and truncated answers.

    It records whether anything of a request has been sent. A line or chunk that is
    truncated raises an error. While the connection is idle, a task reads the first
    byte of the next answer, so that a connection that receives input without a
    request, or is closed by the server, is never used again.
    """

    def __init__(self, pool, *, connect_timeout: timedelta) -> None:
        super().__init__(pool, connect_timeout=connect_timeout)
        self.has_sent = False
        self._is_in_head = False
        self._first_byte: asyncio.Task | None = None
        self._is_watching = False
        self._on_input: Callable[[], None] | None = None

    @property
    def reused(self) -> bool:
        """Return False, since aiosonic resends requests on reused connections."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    def write(self, data: bytes) -> None:
        """Write data, and record that something was sent."""
        self.has_sent = True
        super().write(data)

    async def readline(self) -> bytes:
        """Read a complete line; within the head, it must be a header."""
        line = await super().readline()
        if not line.endswith(b"\n"):
            raise ConnectionDisconnected("the connection was closed within a line")
        is_end = line in (b"\r\n", b"\n")
        if self._is_in_head and not is_end and b":" not in line:
            raise HttpParsingError("a line of the head is not a header")
        if is_end:
            self._is_in_head = False
        return line

    async def readexactly(self, size: int) -> bytes:
        """Read a chunk and the end of line that must follow it."""
        chunk = await super().readexactly(size)
        if size and not chunk.endswith(b"\r\n"):
            raise HttpParsingError("a chunk is longer than its declared size")
        return chunk

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the status line, whose first byte the idle watch may have read."""
        self._is_in_head = True
        if self._first_byte is None:
            return await super().readuntil(separator)
        first = await self._first_byte
        self._first_byte = None
        if not first:
            raise ConnectionDisconnected("the connection was closed without an answer")
        return first + await super().readuntil(separator)

    def watch(self, on_input: Callable[[], None]) -> None:
        """Start to watch the idle connection.

        Calls `on_input` if the connection receives input, or is closed by the server,
        before `is_clean` ends the watch.
        """
        self.has_sent = False
        self._is_watching = False
        self._on_input = on_input
        self._first_byte = asyncio.create_task(self._read_first_byte())

    async def _read_first_byte(self) -> bytes:
        self._is_watching = True
        try:
            first = await self.reader.read(1)
        except OSError:
            first = b""
        if self._on_input is not None:
            self._on_input()
        return first

    async def is_clean(self) -> bool:
        """End the watch; return whether the connection is open and got no input."""
        if not self._is_watching:
            # Lets the watch start, so that it sees input that has already arrived.
            await asyncio.sleep(0)
        self._on_input = None
        return self.is_connected

    def close(self) -> None:
        """Close the socket immediately."""
        if self._first_byte is not None:
            self._first_byte.cancel()
            self._first_byte = None
        super().close()


class _Client:
    """An aiosonic client with a single connection.

    `timer` closes the connection when it has been idle for too long.
    """

    __slots__ = ("_connect_timeout", "conn", "http", "timer")

    def __init__(self, cfg: ClientLimits) -> None:
        self.conn: _WatchedConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._connect_timeout = cfg.connect_timeout
        connector = aiosonic.TCPConnector(
            pool_configs={
                ":default": PoolConfig(
                    size=1, max_conn_requests=None, max_conn_idle_ms=None
                )
            },
            timeouts=NO_LIBRARY_TIMEOUTS,
            connection_cls=self._connect,
            resolver=_NumericResolver(),
            use_dns_cache=False,
        )
        self.http = aiosonic.HTTPClient(
            connector=connector, max_decompressed_size=cfg.max_answer_bytes
        )

    def _connect(self, pool) -> _WatchedConnection:
        self.conn = _WatchedConnection(pool, connect_timeout=self._connect_timeout)
        return self.conn

    def close(self) -> None:
        """Close the socket immediately."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.conn is not None:
            self.conn.close()


class ClientPool:
    """Sends requests over pooled connections.

    Parameters
    ----------
    cfg : ClientLimits
        Limits on waits, idle connections and the size of answers.
    """

    __slots__ = ("_busy", "_cfg", "_idle", "_is_closed")

    def __init__(self, cfg: ClientLimits) -> None:
        self._cfg = cfg
        self._idle: dict[str, deque[_Client]] = {}
        self._busy: set[_Client] = set()
        self._is_closed = False

    @property
    def n_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(clients) for clients in self._idle.values())

    async def exchange(self, req: ClientRequest) -> ClientAnswer:
        """Send a request once and return its complete answer.

        Raises
        ------
        NotConnectedError
            Nothing was sent.
        AnswerLostError
            The request was sent, at least in part, and no complete answer arrived.
        """
        client = await self._acquire(req.address)
        self._busy.add(client)
        is_complete = False
        try:
            async with asyncio.timeout(req.timeout.total_seconds()):
                answer, is_reusable = await self._send(client, req)
            is_complete = True
        except HttpError:
            raise
        except Exception as exc:
            raise _exchange_error(client, req, exc) from exc
        finally:
            self._busy.discard(client)
            if not is_complete:
                client.close()
        if is_reusable:
            self._release(req.address, client)
        else:
            client.close()
        return answer

    async def close(self) -> None:
        """Close every connection; requests in flight fail with `AnswerLostError`."""
        self._is_closed = True
        for clients in self._idle.values():
            for client in clients:
                client.close()
        self._idle.clear()
        for client in self._busy:
            client.close()

    async def _acquire(self, address: str) -> _Client:
        """Return an idle client whose connection is clean, or a new client."""
        clients = self._idle.get(address)
        while clients:
            client = clients.pop()
            try:
                is_clean = await client.conn.is_clean()
            except asyncio.CancelledError:
                client.close()
                raise
            if is_clean:
                client.timer.cancel()
                return client
            client.close()
        if clients is not None and self._idle.get(address) is clients:
            del self._idle[address]
        return _Client(self._cfg)

    async def _send(
        self, client: _Client, req: ClientRequest
    ) -> tuple[ClientAnswer, bool]:
        """Return the answer, and whether the connection can be reused."""
        headers = dict(req.headers)
        if not req.body:
            headers["Content-Length"] = "0"
        res = await client.http.request(
            f"http://{req.address}{req.path}",
            method=req.method,
            headers=headers,
            data=req.body,
            stream=True,
        )
        if not _has_known_length(res):
            raise AnswerLostError("the answer does not declare its length")
        parts = []
        n_bytes = 0
        async for part in res.iter_bytes():
            n_bytes += len(part)
            if n_bytes > self._cfg.max_answer_bytes:
                raise AnswerLostError("the answer is longer than the limit")
            parts.append(part)
        answer = ClientAnswer(
            status=res.status_code,
            headers={key.lower(): value for key, value in res.raw_headers},
            body=b"".join(parts),
        )
        return answer, client.conn.keep

    def _release(self, address: str, client: _Client) -> None:
        """Keep a connection for reuse, within the limit of idle connections."""
        clients = self._idle.setdefault(address, deque())
        if self._is_closed or len(clients) >= self._cfg.max_idle_per_peer:
            client.close()
            return
        close_idle = partial(self._close_idle, address, client)
        client.conn.watch(close_idle)
        clients.append(client)
        client.timer = asyncio.get_running_loop().call_later(
            self._cfg.idle_timeout.total_seconds(), close_idle
        )

    def _close_idle(self, address: str, client: _Client) -> None:
        """Close an idle connection and remove it from the pool."""
        clients = self._idle.get(address, deque())
        if client in clients:
            clients.remove(client)
        if not clients:
            self._idle.pop(address, None)
        client.close()


def _has_known_length(res: aiosonic.HttpResponse) -> bool:
    """Return whether the answer is final and declares where its body ends."""
    if res.status_code < 200:
        return False
    if res.status_code in (204, 304):
        return True
    lengths = {val for key, val in res.raw_headers if key.lower() == "content-length"}
    codings = [
        val.lower()
        for key, val in res.raw_headers
        if key.lower() == "transfer-encoding"
    ]
    if codings:
        return not lengths and codings == ["chunked"]
    return len(lengths) == 1 and next(iter(lengths)).isdecimal()


def _exchange_error(client: _Client, req: ClientRequest, exc: Exception) -> Exception:
    """Return the error that tells whether anything of the request was sent."""
    reason = str(exc) or type(exc).__name__
    text = f"{req.method} {req.address}{req.path}: {reason}"
    if client.conn is None or not client.conn.has_sent:
        return NotConnectedError(text)
    return AnswerLostError(text)
