"""One HTTP exchange with one server.

Each exchange has a client and a connection of its own, closed at its end, so that a
late answer can't be taken for the answer to a later request.
"""

import asyncio
import socket
import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import timedelta

import aiosonic
import msgspec
from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts

from ..exceptions import RedwingslipError

__all__ = [
    "AnswerLostError",
    "ExchangeError",
    "HttpAnswer",
    "HttpRequest",
    "NotSentError",
    "RefusedStreamError",
    "exchange",
    "stream_lines",
]

CONNECT_TIMEOUT = timedelta(seconds=3)
MAX_LINE_BYTES = 4 << 20

# Errors that come before a byte of the request is sent.
_NOT_SENT = (
    ConnectTimeout,
    ConnectionRefusedError,
    socket.gaierror,
    ssl.SSLCertVerificationError,
)


class ExchangeError(RedwingslipError):
    """An exchange brought no whole answer."""


class NotSentError(ExchangeError):
    """No connection came about: nothing was sent."""


class AnswerLostError(ExchangeError):
    """Something was sent, and no whole answer arrived."""


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to one server."""

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout: timedelta
    tls: ssl.SSLContext | None = None


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class RefusedStreamError(ExchangeError):
    """A server answered a stream's request with something else.

    Parameters
    ----------
    answer : HttpAnswer
        What it answered.
    """

    def __init__(self, answer: HttpAnswer) -> None:
        super().__init__(f"status {answer.status}")
        self.answer = answer


async def exchange(req: HttpRequest) -> HttpAnswer:
    """Send a request once and return its whole answer.

    Raises
    ------
    NotSentError
        Nothing was sent.
    AnswerLostError
        It may have been taken, and no whole answer arrived.
    """
    async with _translated_errors(req):
        async with asyncio.timeout(req.timeout.total_seconds()):
            async with _open(req) as res:
                return await _read_whole(res)


async def stream_lines(req: HttpRequest) -> AsyncIterator[bytes]:
    """Yield the lines of an endless answer.

    The request's timeout bounds the wait for each part.

    Raises
    ------
    RefusedStreamError
        The answer's status is not 200.
    """
    timeout = req.timeout.total_seconds()
    async with _translated_errors(req), _open(req) as res:
        if res.status_code != 200:
            raise RefusedStreamError(await _read_whole(res))
        rest = b""
        parts = aiter(res.iter_bytes())
        while True:
            async with asyncio.timeout(timeout):
                part = await anext(parts, None)
            if part is None:
                return
            *lines, rest = (rest + part).split(b"\n")
            if len(rest) > MAX_LINE_BYTES:
                raise AnswerLostError(f"{req.url}: a line is too long")
            for line in lines:
                yield line


async def _read_whole(res: aiosonic.HttpResponse) -> HttpAnswer:
    body = await res.content()
    headers = {key.lower(): value for key, value in res.raw_headers}
    return HttpAnswer(status=res.status_code, headers=headers, body=body)


@asynccontextmanager
async def _open(req: HttpRequest) -> AsyncIterator[aiosonic.HttpResponse]:
    connections: list[Connection] = []

    def connect(pool) -> Connection:
        conn = Connection(pool)
        connections.append(conn)
        return conn

    timeouts = Timeouts(
        sock_connect=CONNECT_TIMEOUT.total_seconds(),
        sock_read=None,
        request_timeout=None,
    )
    connector = aiosonic.TCPConnector(timeouts=timeouts, connection_cls=connect)
    client = aiosonic.HTTPClient(connector=connector)
    try:
        yield await client.request(
            req.url,
            method=req.method,
            headers=dict(req.headers),
            data=req.body or None,
            ssl=req.tls,
            stream=True,
        )
    finally:
        for conn in connections:
            conn.close()


@asynccontextmanager
async def _translated_errors(req: HttpRequest) -> AsyncIterator[None]:
    try:
        yield
    except ExchangeError:
        raise
    except _NOT_SENT as exc:
        raise NotSentError(f"{req.url}: {_reason(exc)}") from exc
    except Exception as exc:
        raise AnswerLostError(f"{req.url}: {_reason(exc)}") from exc


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
