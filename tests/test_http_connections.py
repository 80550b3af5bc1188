"""Tests of events at the end of a connect, and of connections kept apart by peer."""

import asyncio
import time
import unittest
from datetime import timedelta
from unittest import mock

from redwingslip.http import (
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    NotConnectedError,
)
from tests.support_http import LONG, HttpTestCase, RawServer, http_answer
from tests.test_http_client import answer_once, echo

HOUR = timedelta(hours=1)
SHORT = timedelta(milliseconds=250)


class ConnectingLoop:
    """Patches the running loop, so that a test acts at the end of each connect.

    `at_end` is called in the step of the loop in which a connection was made, before
    the task that waits for the connection is woken.
    """

    def __init__(self, at_end):
        self._at_end = at_end

    def __enter__(self):
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(*args, **options):
            connection = await connect(*args, **options)
            self._at_end()
            return connection

        self._patch = mock.patch.object(loop, "create_connection", create_connection)
        self._patch.start()

    def __exit__(self, *exc_info):
        self._patch.stop()


class TestEndOfConnect(HttpTestCase):
    """Cancellations and timeouts that fire just as a connection has been made."""

    async def asyncSetUp(self):
        """Start a server that never answers."""
        await super().asyncSetUp()

        async def unresponsive(server, reader, writer):
            await asyncio.Event().wait()

        server = await self.enterAsyncContext(RawServer(unresponsive))
        self.address = server.address

    async def wait_for_end(self, task):
        """Wait for a task, which must end long before its own timeout."""
        done, _ = await asyncio.wait({task}, timeout=LONG.total_seconds())
        if not done:
            # The task ends with this cancellation, which comes at another moment.
            task.cancel()
        self.assertTrue(done, "the request still waits")

    async def test_cancellation_is_kept(self):
        """A request that is cancelled at the end of its connect does not go on."""
        loop = asyncio.get_running_loop()
        task = asyncio.create_task(self.send("POST", "/", timeout=HOUR))
        with ConnectingLoop(lambda: loop.call_soon(task.cancel)):
            await self.wait_for_end(task)
        self.assertTrue(task.cancelled())

    async def test_timeout_is_kept(self):
        """A timeout that passes at the end of the connect ends the request."""
        task = asyncio.create_task(self.send("POST", "/", timeout=SHORT))
        # A step of the loop that outlasts the timeout: it fires in the next one.
        with ConnectingLoop(lambda: time.sleep(2 * SHORT.total_seconds())):
            await self.wait_for_end(task)
        self.assertIsInstance(task.exception(), HttpError)

    async def test_connect_timeout_ends_a_connect(self):
        """A connect that takes too long ends with `NotConnectedError`."""
        loop = asyncio.get_running_loop()

        async def create_connection(*args, **options):
            await asyncio.Event().wait()

        pool = ClientPool(ClientLimits(connect_timeout=SHORT))
        self.addAsyncCleanup(pool.close)
        self.pool = pool
        with mock.patch.object(loop, "create_connection", create_connection):
            task = asyncio.create_task(self.send("POST", "/", timeout=HOUR))
            await self.wait_for_end(task)
        self.assertIsInstance(task.exception(), NotConnectedError)


class TestIdentifiedPeer(unittest.IsolatedAsyncioTestCase):
    """Tests that a request goes only to the process that was identified."""

    async def asyncSetUp(self):
        self.n_connections = 0
        self.pool = ClientPool(ClientLimits())
        self.addAsyncCleanup(self.pool.close)

    async def serve(self, script):
        """Start a scripted server; return the address."""

        async def counted(server, reader, writer):
            self.n_connections += 1
            await script(server, reader, writer)

        server = await self.enterAsyncContext(RawServer(counted))
        server.released = asyncio.Event()
        return server.address

    def request(self, address, body, peer="one", timeout=LONG):
        return ClientRequest(
            address=address,
            peer=peer,
            method="POST",
            path="/",
            headers={},
            body=body,
            timeout=timeout,
        )

    async def test_a_request_is_not_sent_on_another_connection(self):
        """Guards against a request to the process that serves the address next."""
        address = await self.serve(echo)

        async def identify(send):
            await send(self.request(address, b"who"))
            (client,) = self.pool._busy
            client.conn.close()

        with self.assertRaises(NotConnectedError):
            await self.pool.exchange(self.request(address, b"order"), identify=identify)
        self.assertEqual(self.n_connections, 1)

    async def test_a_failed_identification_sends_nothing_of_the_request(self):
        address = await self.serve(answer_once(b"HTTP/1.1 200 OK\r\nContent-"))

        async def identify(send):
            await send(self.request(address, b"who"))

        with self.assertRaises(NotConnectedError):
            await self.pool.exchange(self.request(address, b"order"), identify=identify)

    async def test_a_server_that_closes_connections_gets_requests(self):
        """Guards against servers that are cut off, as they can't be identified."""

        async def answer_and_close(server, reader, writer):
            body = await server.read_request(reader)
            writer.write(http_answer(body, headers=("Connection: close",)))
            await writer.drain()

        address = await self.serve(answer_and_close)

        async def identify(send):
            await send(self.request(address, b"who"))

        for n_connections in (2, 4):
            answer = await self.pool.exchange(
                self.request(address, b"order"), identify=identify
            )
            self.assertEqual(answer.body, b"order")
            self.assertEqual(self.n_connections, n_connections)

    async def test_an_identification_leaves_a_request_its_time(self):
        """Guards against servers that are cut off, as they answer slowly."""

        async def answer_slowly(server, reader, writer):
            while True:
                body = await server.read_request(reader)
                await asyncio.sleep(0.6 * SHORT.total_seconds())
                writer.write(http_answer(body))

        address = await self.serve(answer_slowly)

        async def identify(send):
            await send(self.request(address, b"who", timeout=SHORT))

        answer = await self.pool.exchange(
            self.request(address, b"order", timeout=SHORT), identify=identify
        )
        self.assertEqual(answer.body, b"order")

    async def test_connections_are_kept_apart_by_peer(self):
        address = await self.serve(echo)
        identified = []
        for peer in ("one", "two", "one", "two"):

            async def identify(send, peer=peer):
                identified.append(peer)
                await send(self.request(address, b"who"))

            answer = await self.pool.exchange(
                self.request(address, b"order", peer), identify=identify
            )
            self.assertEqual(answer.body, b"order")
        self.assertEqual(identified, ["one", "two"])
        self.assertEqual(self.n_connections, 2)


if __name__ == "__main__":
    unittest.main()
