"""Tests that stalled bodies give up their connections, over loopback sockets."""

import asyncio
from datetime import timedelta

from redwingslip.http import HttpLimits
from tests.test_http_server import ServerTestCase

STALL = timedelta(milliseconds=50)
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"


class TestStalledConnections(ServerTestCase):
    """A server that is full with connections whose requests are in progress."""

    async def test_stalled_bodies_do_not_keep_callers_out(self):
        """Guards against clients that take all connections with incomplete bodies.

        Their bodies are so small that they never fill the budget for bodies.
        """
        await self.start(HttpLimits(max_connections=2, body_stall=STALL))
        stalled = [await self.connect(HEAD + b"x") for _ in range(2)]
        self.assertIn(b"200 OK", await self.first_line(HEAD + b"xx"))
        self.assertEqual(await self.read_to_end(stalled[0][0]), b"")

    async def test_running_request_keeps_its_connection(self):
        """Guards against a caller that loses its answer to a new connection."""
        await self.start(HttpLimits(max_connections=1, body_stall=STALL))
        self.release.clear()
        reader, _ = await self.connect(HEAD + b"xx")
        await self.running.wait()
        await asyncio.sleep(3 * STALL.total_seconds())
        refused, _ = await self.connect()
        self.assertEqual(await self.read_to_end(refused), b"")
        self.release.set()
        self.assertIn(b"200 OK", await reader.readline())
