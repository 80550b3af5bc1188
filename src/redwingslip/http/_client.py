"""An HTTP client with a pool of connections, each used by one request at a time.

A connection is kept for reuse only after a complete answer. After any other outcome
it is reset immediately: a late answer can't be read as the answer to a later request,
and a request that is held up on the way isn't delivered after it was given up.
"""

import asyncio
import socket
import traceback
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from functools import partial

import aiosonic
import msgspec
from aiosonic.pools import PoolConfig

from ._answer_budget import AnswerBudget
from ._connections import NO_LIBRARY_TIMEOUTS, WatchedConnection
from ._limits import ClientLimits
from .exceptions import AnswerLostError, HttpError, NotConnectedError

__all__ = ["ClientAnswer", "ClientPool", "ClientRequest"]


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request.

    Attributes
    ----------
    address : str
        Host and port of the server.
    peer : str
        Names one of the processes that serve the address one after the other. A
        connection is reused only for requests with the same name.
    """

    address: str
    peer: str = ""
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


Identify = Callable[
    [Callable[[ClientRequest], Awaitable[ClientAnswer]]], Awaitable[None]
]
# Address and peer, see `ClientRequest`.
_IdleKey = tuple[str, str]


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


class _Client:
    """An aiosonic client with a single connection.

    `timer` closes the connection when it has been idle for too long.
    """

    __slots__ = ("_budget", "_connect_timeout", "conn", "http", "timer")

    def __init__(self, cfg: ClientLimits, budget: AnswerBudget) -> None:
        self._budget = budget
        self.conn: WatchedConnection | None = None
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

    def _connect(self, pool) -> WatchedConnection:
        self.conn = WatchedConnection(
            pool,
            connect_timeout=self._connect_timeout,
            claim=self._budget.claim(),
        )
        return self.conn

    @property
    def was_connected(self) -> bool:
        """Return whether the connection was ever established."""
        return self.conn is not None and self.conn.was_connected

    def close(self) -> None:
        """Close the socket immediately."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.conn is not None:
            self.conn.close()
            # The library's objects refer to each other, and would keep the input.
            self.conn.reader = None


class ClientPool:
    """Sends requests over pooled connections.

    Parameters
    ----------
    cfg : ClientLimits
        Limits on waits, idle connections and the size of answers.
    """

    __slots__ = ("_budget", "_busy", "_cfg", "_idle", "_is_closed")

    def __init__(self, cfg: ClientLimits) -> None:
        self._cfg = cfg
        self._budget = AnswerBudget(cfg)
        self._idle: dict[_IdleKey, deque[_Client]] = {}
        self._busy: set[_Client] = set()
        self._is_closed = False

    @property
    def n_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(clients) for clients in self._idle.values())

    async def exchange(
        self, req: ClientRequest, *, identify: Identify | None = None
    ) -> ClientAnswer:
        """Send a request once and return its complete answer.

        Parameters
        ----------
        req : ClientRequest
            The request.
        identify : callable or None
            Awaited on a new connection before the request is sent, with a function that
            sends other requests on that connection, within their own timeouts. It
            raises `WrongPeerError` if they show that another process than `req.peer`
            answers.

        Raises
        ------
        NotConnectedError
            Nothing of the request was sent.
        AnswerLostError
            The request was sent, at least in part, and no complete answer arrived.
        WrongPeerError
            Another process answers at the address; nothing of the request was sent.
        """
        key = (req.address, req.peer)
        client = await self._acquire(key)
        if identify is not None and not client.was_connected:
            client = await self._identify(client, req, identify)
        self._busy.add(client)
        is_complete = False
        try:
            async with asyncio.timeout(req.timeout.total_seconds()):
                answer, is_reusable = await self._send(client, req)
            client.conn.has_sent = False
            is_complete = True
        except HttpError as exc:
            _clear_frames(exc)
            raise
        except Exception as exc:
            _clear_frames(exc)
            raise _exchange_error(client, req, exc) from exc
        finally:
            self._busy.discard(client)
            if not is_complete:
                client.close()
        if is_reusable:
            self._release(key, client)
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

    async def _identify(
        self, client: _Client, req: ClientRequest, identify: Identify
    ) -> _Client:
        """Identify the process at the other end of a new connection.

        Return the client for the request. It is a new one if the server does not keep
        the connection, and the process that answers the request is not known then.
        """
        is_kept = is_identified = False

        async def send(req: ClientRequest) -> ClientAnswer:
            nonlocal is_kept
            async with asyncio.timeout(req.timeout.total_seconds()):
                answer, is_kept = await self._send(client, req)
            return answer

        self._busy.add(client)
        try:
            await identify(send)
            is_identified = True
        except Exception as exc:
            if isinstance(exc, HttpError) and not isinstance(exc, AnswerLostError):
                raise
            raise NotConnectedError(f"{req.address}: not identified: {exc!r}") from exc
        finally:
            self._busy.discard(client)
            if not (is_identified and is_kept):
                client.close()
        if not is_kept:
            return _Client(self._cfg, self._budget)
        client.conn.has_sent = False
        return client

    async def _acquire(self, key: _IdleKey) -> _Client:
        """Return an idle client whose connection is clean, or a new client."""
        clients = self._idle.get(key)
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
        if clients is not None and self._idle.get(key) is clients:
            del self._idle[key]
        return _Client(self._cfg, self._budget)

    async def _send(
        self, client: _Client, req: ClientRequest
    ) -> tuple[ClientAnswer, bool]:
        """Return the answer, and whether the connection can be reused."""
        try:
            return await self._receive(client, req)
        finally:
            if client.conn is not None:
                client.conn.claim.release()

    async def _receive(
        self, client: _Client, req: ClientRequest
    ) -> tuple[ClientAnswer, bool]:
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
        declared = res.headers.get("content-length", "")
        if declared.isdecimal() and int(declared) > self._cfg.max_answer_bytes:
            raise AnswerLostError("the answer is longer than the limit")
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

    def _release(self, key: _IdleKey, client: _Client) -> None:
        """Keep a connection for reuse, within the limit of idle connections."""
        clients = self._idle.setdefault(key, deque())
        if self._is_closed or len(clients) >= self._cfg.max_idle_per_peer:
            client.close()
            return
        close_idle = partial(self._close_idle, key, client)
        client.conn.watch(close_idle)
        clients.append(client)
        client.timer = asyncio.get_running_loop().call_later(
            self._cfg.idle_timeout.total_seconds(), close_idle
        )

    def _close_idle(self, key: _IdleKey, client: _Client) -> None:
        """Close an idle connection and remove it from the pool."""
        clients = self._idle.get(key, deque())
        if client in clients:
            clients.remove(client)
        if not clients:
            self._idle.pop(key, None)
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


def _clear_frames(exc: BaseException | None) -> None:
    """Drop the variables of the frames that an exception and its causes refer to.

    They hold what was received of an answer, for as long as the exception is kept.
    """
    while exc is not None:
        traceback.clear_frames(exc.__traceback__)
        exc = exc.__cause__ or exc.__context__


def _exchange_error(client: _Client, req: ClientRequest, exc: Exception) -> Exception:
    """Return the error that tells whether anything of the request was sent."""
    reason = str(exc) or type(exc).__name__
    text = f"{req.method} {req.address}{req.path}: {reason}"
    if client.conn is None or not client.conn.has_sent:
        return NotConnectedError(text)
    return AnswerLostError(text)
