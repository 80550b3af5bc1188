"""Tests of the client with servers that answer late, incompletely or never."""

import asyncio
import socket
import unittest
from datetime import timedelta

from redwingslip.http import (
    AnswerLostError,
    ClientLimits,
    ClientPool,
    ClientRequest,
    NotConnectedError,
)
from tests.support_http import LONG, HttpTestCase, RawServer, http_answer

HOUR = timedelta(hours=1)
SHORT = timedelta(milliseconds=250)


async def echo(server, reader, writer):
    """Answer each request with its own body; "slow" waits until it is released."""
    while True:
        body = await server.read_request(reader)
        if body == b"slow":
            await server.released.wait()
        writer.write(http_answer(body))


def answer_once(answer):
    """Return a script that answers the first request, then closes the connection."""

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(answer)
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    return script


class TestLateAnswer(HttpTestCase):
    """Tests that a late answer is not read as the answer to another request."""

    async def serve_raw(self, script):
        """Start a scripted server."""
        server = await self.enterAsyncContext(RawServer(script))
        server.released = asyncio.Event()
        self.address = server.address
        return server

    async def test_late_answer_after_a_timeout_reaches_no_other_request(self):
        """The next request after a timeout gets its own answer."""
        server = await self.serve_raw(echo)
        for attempt in range(3):
            await self.send("POST", "/", body=b"warm")
            with self.assertRaises(AnswerLostError):
                await self.send("POST", "/", body=b"slow", timeout=SHORT)
            server.released.set()
            mine = b"mine %d" % attempt
            answer = await self.send("POST", "/", body=mine)
            self.assertEqual(answer.body, mine)
            server.released.clear()

    async def test_late_answer_after_a_cancellation_reaches_no_other_request(self):
        """The next request after a cancellation gets its own answer."""
        server = await self.serve_raw(echo)
        await self.send("POST", "/", body=b"warm")
        task = asyncio.create_task(self.send("POST", "/", body=b"slow"))
        await server.wait_for(lambda: len(server.requests) == 2)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        server.released.set()
        answer = await self.send("POST", "/", body=b"mine")
        self.assertEqual(answer.body, b"mine")

    async def test_socket_is_closed_after_a_timeout_or_cancellation(self):
        """The server sees the connection close after a timeout or cancellation."""

        async def answer_first_and_count_close(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.read_request(reader)
            await server.wait_and_count_close(reader)

        server = await self.serve_raw(answer_first_and_count_close)
        await self.send("POST", "/", body=b"warm")
        try:
            await self.send("POST", "/", body=b"x", timeout=SHORT)
        except AnswerLostError as exc:
            # The traceback keeps a reference to the connection, so that garbage
            # collection can't close it.
            error = exc
        await server.wait_for(lambda: server.n_closed == 1)
        self.assertIsNotNone(error.__traceback__)
        await self.send("POST", "/", body=b"warm")
        task = asyncio.create_task(self.send("POST", "/", body=b"x"))
        await server.wait_for(lambda: len(server.requests) == 4)
        task.cancel()
        await server.wait_for(lambda: server.n_closed == 2)

    async def test_surplus_answer_reaches_no_other_request(self):
        """Bytes after a complete answer are not read as the next answer."""

        async def answer_twice(server, reader, writer):
            while True:
                body = await server.read_request(reader)
                writer.write(http_answer(body) + http_answer(b"not asked for"))

        await self.serve_raw(answer_twice)
        for body in (b"first", b"second", b"third"):
            answer = await self.send("POST", "/", body=body)
            self.assertEqual(answer.body, body)

    async def test_unsolicited_answer_on_an_idle_connection_is_dropped(self):
        """Input on an idle connection closes the connection."""

        async def answer_unsolicited(server, reader, writer):
            body = await server.read_request(reader)
            writer.write(http_answer(body))
            await server.released.wait()
            writer.write(http_answer(b"not asked for"))
            await server.wait_and_count_close(reader)

        server = await self.serve_raw(answer_unsolicited)
        await self.send("POST", "/", body=b"first")
        server.released.set()
        await server.wait_for(lambda: server.n_closed == 1)
        answer = await self.send("POST", "/", body=b"second")
        self.assertEqual(answer.body, b"second")

    async def test_concurrent_requests_get_their_own_answers(self):
        """Each of many concurrent requests gets its own answer, or times out."""
        server = await self.serve_raw(echo)
        loop = asyncio.get_running_loop()
        max_wait = timedelta(seconds=20)
        self.pool = ClientPool(ClientLimits(connect_timeout=max_wait))
        self.addAsyncCleanup(self.pool.close)

        async def send_and_check(number):
            body = b"slow" if number % 5 == 0 else b"%d" % number
            timeout = SHORT if body == b"slow" else max_wait
            try:
                answer = await self.send("POST", "/", body=body, timeout=timeout)
            except (AnswerLostError, NotConnectedError):
                self.assertEqual(body, b"slow")
                loop.call_later(0.01, server.released.set)
                return
            self.assertEqual(answer.body, body)

        for _ in range(4):
            server.released.clear()
            await asyncio.gather(*(send_and_check(number) for number in range(40)))


class TestAbandonedRequest(HttpTestCase):
    """Requests that are given up while their bytes are held up on the way."""

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def accept(self):
        """Return the connection of the client once a byte of its request is there."""
        loop = asyncio.get_running_loop()
        self.listener.setblocking(False)
        conn, _ = await loop.sock_accept(self.listener)
        self.addCleanup(conn.close)
        self.assertTrue(await loop.sock_recv(conn, 1))
        return conn

    async def assert_reset(self, conn):
        """Fail if the connection ends without a reset.

        After a reset, a network that holds up the bytes of a connection drops them.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(LONG.total_seconds()):
            with self.assertRaises(ConnectionResetError):
                while await loop.sock_recv(conn, 65536):
                    pass

    async def test_request_that_timed_out_is_not_delivered_later(self):
        """Guards against orders that arrive after those of another leader (ONE)."""
        for body in (b"order", b"x" * 8_000_000):
            req = self.send("POST", "/", body=body, timeout=SHORT)
            task = asyncio.create_task(req)
            conn = await self.accept()
            with self.assertRaises(AnswerLostError):
                await task
            await self.assert_reset(conn)

    async def test_request_that_was_cancelled_is_not_delivered_later(self):
        """Guards against orders that arrive after those of another leader (ONE)."""
        task = asyncio.create_task(self.send("POST", "/", body=b"order"))
        conn = await self.accept()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.assert_reset(conn)

    async def test_request_in_flight_at_the_close_is_not_delivered_later(self):
        """Guards against orders that arrive after those of another leader (ONE)."""
        task = asyncio.create_task(self.send("POST", "/", body=b"order"))
        conn = await self.accept()
        await self.pool.close()
        with self.assertRaises(AnswerLostError):
            await task
        await self.assert_reset(conn)


class TestIncompleteAnswer(HttpTestCase):
    """Tests of incomplete and malformed answers."""

    async def test_incomplete_answer_is_an_error(self):
        """An answer that is truncated, malformed or without a length is an error.

        The request is not resent.
        """
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "nothing": b"",
            "in the status line": b"HTTP/1.1 20",
            "after the status line": b"HTTP/1.1 200 OK\r\n",
            "in the head": b"HTTP/1.1 200 OK\r\nContent-Type: text/pl",
            "after a header": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
            "before the body": http_answer(b"body")[:-4],
            "in the body": http_answer(b"body")[:-1],
            "without a length": b"HTTP/1.1 200 OK\r\n\r\nbody",
            "before a chunk": chunked,
            "in a chunk": chunked + b"4\r\nbo",
            "after a chunk": chunked + b"4\r\nbody\r\n",
            "before the end of chunks": chunked + b"4\r\nbody\r\n0\r\n",
            "a wrong chunk size": chunked + b"zz\r\nbody\r\n0\r\n\r\n",
            "not HTTP": b"220 mail.example ESMTP\r\n\r\n",
            "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Content-Length: 4\r\n\r\nbody",
            "a line that is not a header": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"no header\r\nX: y\r\n\r\nok",
            "a chunk longer than its declared size": chunked + b"2\r\nbody0\r\n\r\n",
            "a further coding": chunked.replace(b"chunked", b"gzip, chunked")
            + b"2\r\nbo\r\n0\r\n\r\n",
            "only an interim answer": b"HTTP/1.1 103 Early Hints\r\n\r\n",
        }
        for name, answer in cases.items():
            for method in ("POST", "PUT"):
                with self.subTest(answer=name, method=method):
                    async with RawServer(answer_once(answer)) as server:
                        with self.assertRaises(AnswerLostError):
                            await self.send(
                                method, "/", body=b"x", address=server.address
                            )
                        self.assertEqual(len(server.requests), 1)
        self.assertEqual(self.pool.n_idle, 0)

    async def test_complete_answers(self):
        """An answer may have a length, chunks or no body."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            (http_answer(b"body"), b"body"),
            (http_answer(b""), b""),
            (chunked + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", b"body"),
            (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        )
        for answer, body in cases:
            with self.subTest(answer=answer):
                async with RawServer(answer_once(answer)) as server:
                    received = await self.send("POST", "/", address=server.address)
                    self.assertEqual(received.body, body)

    async def test_too_long_an_answer_is_refused(self):
        """An answer above the limit is an error, with a length and in chunks."""
        pool = ClientPool(ClientLimits(max_answer_bytes=100))
        self.addAsyncCleanup(pool.close)
        self.pool = pool
        chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for answer in (http_answer(b"x" * 101), chunked + chunk * 2 + b"0\r\n\r\n"):
            async with RawServer(answer_once(answer)) as server:
                with self.assertRaises(AnswerLostError):
                    await self.send("POST", "/", address=server.address)


class TestReuse(HttpTestCase):
    """Tests of connections that are kept for reuse."""

    async def test_connection_is_kept_after_a_complete_answer(self):
        """Sequential requests share a connection, concurrent ones do not."""
        async with RawServer(echo) as server:
            for _ in range(5):
                await self.send("POST", "/", body=b"x", address=server.address)
            self.assertEqual(server.n_connections, 1)
            requests = (
                self.send("POST", "/", body=b"x", address=server.address)
                for _ in range(3)
            )
            await asyncio.gather(*requests)
            self.assertEqual(server.n_connections, 3)

    async def test_closed_idle_connection_is_not_used(self):
        """An idle connection that the server has closed is replaced."""

        async def answer_and_close(server, reader, writer):
            body = await server.read_request(reader)
            writer.write(http_answer(body))

        async with RawServer(answer_and_close) as server:
            for _ in range(3):
                await self.send("POST", "/", body=b"x", address=server.address)
                await server.wait_for(lambda: not server.n_open)
            self.assertEqual(len(server.requests), 3)

    async def test_request_on_a_reused_connection_is_not_resent(self):
        """A request is not resent if its reused connection closes without an answer."""

        async def answer_first_only(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.read_request(reader)

        for method in ("POST", "PUT", "DELETE"):
            async with RawServer(answer_first_only) as server:
                await self.send(method, "/", body=b"1", address=server.address)
                with self.assertRaises(AnswerLostError):
                    await self.send(method, "/", body=b"2", address=server.address)
                self.assertEqual(len(server.requests), 2)
                self.assertEqual(server.n_connections, 1)

    async def test_idle_connections_are_limited_in_time_and_number(self):
        """Idle connections are closed after the timeout, or above the limit."""
        cfg = ClientLimits(idle_timeout=SHORT, max_idle_per_peer=1)
        self.pool = ClientPool(cfg)

        async def answer_and_count_close(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.wait_and_count_close(reader)

        async with RawServer(answer_and_count_close) as server:
            requests = (
                self.send("POST", "/", body=b"x", address=server.address)
                for _ in range(3)
            )
            await asyncio.gather(*requests)
            self.assertLessEqual(self.pool.n_idle, 1)
            await server.wait_for(lambda: server.n_closed == 3)
            self.assertEqual(self.pool.n_idle, 0)


class TestBoundedWaits(HttpTestCase):
    """Tests that every wait ends."""

    async def test_refused_connection_is_reported_as_such(self):
        """A refused connection raises `NotConnectedError`, not `AnswerLostError`."""
        async with RawServer(echo) as server:
            address = server.address
        with self.assertRaises(NotConnectedError):
            await self.send("POST", "/", body=b"x", address=address)

    async def test_unresponsive_server_ends_with_the_timeout(self):
        """A request to a server that neither reads nor answers times out."""

        async def unresponsive(server, reader, writer):
            await asyncio.Event().wait()

        async with RawServer(unresponsive) as server:
            for body in (b"x", b"x" * 8_000_000):
                with self.assertRaises(AnswerLostError):
                    await self.send(
                        "POST", "/", body=body, address=server.address, timeout=SHORT
                    )

    async def test_close_ends_requests_in_flight(self):
        """Requests in flight fail with `AnswerLostError` when the pool is closed."""
        async with RawServer(echo) as server:
            server.released = asyncio.Event()
            request = self.send(
                "POST", "/", body=b"slow", address=server.address, timeout=HOUR
            )
            task = asyncio.create_task(request)
            await server.wait_for(lambda: server.requests)
            await self.pool.close()
            with self.assertRaises(AnswerLostError):
                await asyncio.wait_for(task, LONG.total_seconds())

    async def test_malformed_address_is_not_connected(self):
        """A server's address that can't be used ends only its own request."""
        for address in ("", "nowhere", "127.0.0.1:99999", "127.0.0.1:x", "[::1:80"):
            with self.subTest(address), self.assertRaises(NotConnectedError):
                req = ClientRequest(
                    address=address, method="GET", path="/", headers={}, timeout=LONG
                )
                await self.pool.exchange(req)


if __name__ == "__main__":
    unittest.main()
