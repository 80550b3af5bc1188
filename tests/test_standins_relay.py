"""Tests of the stand-in TCP relay."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.http import AnswerLostError, NotConnectedError
from redwingslip.standins import RelayMode, TcpRelay
from tests.support_http import HttpTestCase, RawServer, eventually, http_answer

SHORT = timedelta(milliseconds=250)


async def echo(server, reader, writer):
    """Answer each request on a connection with its body."""
    while True:
        body = await server.read_request(reader)
        writer.write(http_answer(body))


class TestRelay(HttpTestCase):
    """Requests through a `TcpRelay`."""

    async def asyncSetUp(self):
        """Start a server and a relay in front of it."""
        await super().asyncSetUp()
        self.server = await self.enterAsyncContext(RawServer(echo))
        self.relay = TcpRelay(self.server.address)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        self.address = self.relay.address

    async def send_request(self, body=b"x"):
        """Send a request through the relay."""
        return await self.send("POST", "/", body=body, timeout=2 * SHORT)

    async def test_forwards(self):
        """Bytes are forwarded in both directions."""
        self.assertEqual((await self.send_request(b"a" * 200_000)).body, b"a" * 200_000)

    async def test_frozen_connections_deliver_nothing_while_new_ones_work(self):
        """After a freeze of the open connections a new connection works."""
        await self.send_request()
        self.relay.set_mode_of_open(RelayMode.FREEZE)
        with self.assertRaises(AnswerLostError):
            await self.send_request()
        self.assertEqual(len(self.server.requests), 1)
        self.assertEqual((await self.send_request(b"new")).body, b"new")

    async def test_swallows_one_way(self):
        """A swallowed request does not arrive; with a swallowed answer it does."""
        self.relay.set_mode_of_all(RelayMode.SWALLOW_REQUESTS)
        with self.assertRaises(AnswerLostError):
            await self.send_request()
        self.assertEqual(len(self.server.requests), 0)
        self.relay.set_mode_of_all(RelayMode.SWALLOW_ANSWERS)
        with self.assertRaises(AnswerLostError):
            await self.send_request()
        self.assertEqual(len(self.server.requests), 1)

    async def test_abort_and_stop(self):
        """An abort ends open connections, and a stop refuses new ones."""
        self.relay.set_mode_of_all(RelayMode.FREEZE)
        task = asyncio.create_task(self.send_request())
        await eventually(lambda: self.relay.n_accepted)
        await self.relay.abort_connections()
        with self.assertRaises(AnswerLostError):
            await task
        await self.relay.stop()
        with self.assertRaises(NotConnectedError):
            await self.send_request()


if __name__ == "__main__":
    unittest.main()
