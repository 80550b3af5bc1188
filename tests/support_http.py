"""Support for tests over HTTP: servers on free ports, and scripted raw servers."""

import asyncio
import contextlib
import itertools
import logging
import unittest
from datetime import timedelta

import msgspec

from redwingslip.http import (
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpLimits,
    HttpServer,
    build_app,
)

# Without a handler of its own, the logger would print warnings to stderr.
logging.getLogger("uvicorn.error").addHandler(logging.NullHandler())

LONG = timedelta(seconds=10)


class RawServer:
    """A TCP server that runs a script of the test on each connection.

    Each connection is passed to `script(server, reader, writer)`. `requests` holds the
    head and body of every request that `read_request` has read. `n_closed` counts the
    connections that `wait_and_count_close` has seen the client close.
    """

    def __init__(self, script):
        self._script = script
        self._tasks = set()
        self.requests = []
        self.n_connections = 0
        self.n_open = 0
        self.n_closed = 0
        self.changed = asyncio.Condition()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.n_connections += 1
        self.n_open += 1
        try:
            await self._script(self, reader, writer)
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()
            self.n_open -= 1
            await self.update(lambda: None)

    async def read_request(self, reader):
        """Read the next request, record it and return its body."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        body = await reader.readexactly(length)
        await self.update(self.requests.append, (head, body))
        return body

    async def wait_and_count_close(self, reader):
        """Wait until the client has closed or reset its connection, and count that."""
        with contextlib.suppress(ConnectionResetError):
            while await reader.read(4096):
                pass
        self.n_closed += 1
        await self.update(lambda: None)

    async def update(self, change, *args):
        """Call `change` with `args`, and wake the tasks within `wait_for`."""
        async with self.changed:
            change(*args)
            self.changed.notify_all()

    async def wait_for(self, predicate):
        """Wait for an update after which `predicate` holds."""
        async with asyncio.timeout(LONG.total_seconds()), self.changed:
            await self.changed.wait_for(predicate)


def http_answer(body, *, status=200, headers=()):
    """Return the bytes of a complete HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def eventually(predicate):
    """Poll `predicate` until it holds."""
    async with asyncio.timeout(LONG.total_seconds()):
        for _ in itertools.count():
            if predicate():
                return
            await asyncio.sleep(0.005)


class HttpTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a server for routes, and a client for it."""

    async def serve(self, routes, cfg=None, **options):
        """Start a server, which is aborted when the test ends."""
        cfg = cfg or HttpLimits()
        server = HttpServer(build_app(routes), cfg, **options)
        await server.start()
        self.addAsyncCleanup(server.abort)
        self.address = server.address
        return server

    async def asyncSetUp(self):
        """Create a client."""
        self.pool = ClientPool(ClientLimits())
        self.addAsyncCleanup(self.pool.close)

    async def send(
        self, method, path, *, headers=None, body=b"", address=None, timeout=LONG
    ) -> ClientAnswer:
        """Send a request and return the complete answer."""
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        req = ClientRequest(
            address=address or self.address,
            method=method,
            path=path,
            headers=headers or {},
            body=body,
            timeout=timeout,
        )
        return await self.pool.exchange(req)


def json_of(answer):
    """Return the decoded JSON body of an answer."""
    return msgspec.json.decode(answer.body)
