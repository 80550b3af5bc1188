"""One HTTP exchange with one server.

Each exchange uses a new client and a new connection and closes them at its end, so that
a late answer can't be mistaken for the answer to a later request.
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

from ..exceptions import RedwingslipError
from ..http import NO_LIBRARY_TIMEOUTS, BoundedConnection

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

# Errors that occur before any byte of the request is sent.
_NOT_SENT_ERRORS = (
    ConnectTimeout,
    ConnectionRefusedError,
    socket.gaierror,
    ssl.SSLCertVerificationError,
)


class ExchangeError(RedwingslipError):
    """An exchange ended without a complete answer."""


class NotSentError(ExchangeError):
    """No connection was established, so nothing was sent."""


class AnswerLostError(ExchangeError):
    """The request may have been sent, and no complete answer arrived."""


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to one server."""

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout: timedelta
    tls: ssl.SSLContext | None = None


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class RefusedStreamError(ExchangeError):
    """A server answered the request for a stream with a status other than 200.

    Parameters
    ----------
    answer : HttpAnswer
        The server's answer.
    """

    def __init__(self, answer: HttpAnswer) -> None:
        super().__init__(f"status {answer.status}")
        self.answer = answer


async def exchange(req: HttpRequest) -> HttpAnswer:
    """Send a request once and return the complete answer.

    Raises
    ------
    NotSentError
        Nothing was sent.
    AnswerLostError
        The server may have processed it, and no complete answer arrived.
    """
    async with _translate_errors(req):
        async with asyncio.timeout(req.timeout.total_seconds()):
            async with _open_response(req) as res:
                return await _read_answer(res)


async def stream_lines(req: HttpRequest) -> AsyncIterator[bytes]:
    """Yield the lines of a streamed answer as they arrive.

    The request's timeout bounds the wait for each chunk.

    Raises
    ------
    RefusedStreamError
        The answer's status is not 200.
    NotSentError
        Nothing was sent.
    AnswerLostError
        The connection failed, a chunk did not arrive in time, or a line is too long.
    """
    timeout = req.timeout.total_seconds()
    async with _translate_errors(req), _open_response(req) as res:
        if res.status_code != 200:
            raise RefusedStreamError(await _read_answer(res))
        incomplete_line = b""
        chunks = aiter(res.iter_bytes())
        while True:
            async with asyncio.timeout(timeout):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
            if len(incomplete_line) > MAX_LINE_BYTES:
                raise AnswerLostError(f"{req.url}: a line is too long")
            for line in lines:
                yield line


async def _read_answer(res: aiosonic.HttpResponse) -> HttpAnswer:
    body = await res.content()
    headers = {key.lower(): value for key, value in res.raw_headers}
    return HttpAnswer(status=res.status_code, headers=headers, body=body)


@asynccontextmanager
async def _open_response(req: HttpRequest) -> AsyncIterator[aiosonic.HttpResponse]:
    connections: list[Connection] = []

    def connect(pool) -> Connection:
        conn = BoundedConnection(pool, connect_timeout=CONNECT_TIMEOUT)
        connections.append(conn)
        return conn

    connector = aiosonic.TCPConnector(
        timeouts=NO_LIBRARY_TIMEOUTS, connection_cls=connect
    )
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
async def _translate_errors(req: HttpRequest) -> AsyncIterator[None]:
    try:
        yield
    except ExchangeError:
        raise
    except _NOT_SENT_ERRORS as exc:
        raise NotSentError(f"{req.url}: {_reason(exc)}") from exc
    except Exception as exc:
        raise AnswerLostError(f"{req.url}: {_reason(exc)}") from exc


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
