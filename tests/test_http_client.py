"""Tests of the client against a peer that answers late, in part or not at all."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.http import (
    AnswerLostError,
    ClientLimits,
    ClientPool,
    NotConnectedError,
)
from tests.support_http import LONG, HttpTestCase, RawServer, http_answer

HOUR = timedelta(hours=1)
SHORT = timedelta(milliseconds=250)


async def echo(server, reader, writer):
    """Answer each request with its own body, "slow" only when released."""
    while True:
        body = await server.read_request(reader)
        if body == b"slow":
            await server.released.wait()
        writer.write(http_answer(body))


def once(answer):
    """Return a script that sends `answer` to the first request, then closes."""

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(answer)
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    return script


class TestLateAnswer(HttpTestCase):
    """A request that was given up, and the one after it."""

    async def serve_raw(self, script):
        """Start a scripted server."""
        server = await self.enterAsyncContext(RawServer(script))
        server.released = asyncio.Event()
        self.address = server.address
        return server

    async def test_late_answer_after_a_timeout_reaches_no_other_request(self):
        """After a timeout the next request gets its own answer."""
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
        """After a cancellation the next request gets its own answer."""
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
        """The other side sees the connection close when a request is given up."""

        async def watch(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.read_request(reader)
            await server.wait_and_count_close(reader)

        server = await self.serve_raw(watch)
        await self.send("POST", "/", body=b"warm")
        try:
            await self.send("POST", "/", body=b"x", timeout=SHORT)
        except AnswerLostError as exc:
            # Its traceback refers to the connection, so nothing else closes it.
            lost = exc
        await server.wait_for(lambda: server.n_closed == 1)
        self.assertIsNotNone(lost.__traceback__)
        await self.send("POST", "/", body=b"warm")
        task = asyncio.create_task(self.send("POST", "/", body=b"x"))
        await server.wait_for(lambda: len(server.requests) == 4)
        task.cancel()
        await server.wait_for(lambda: server.n_closed == 2)

    async def test_surplus_answer_reaches_no_other_request(self):
        """Bytes after a whole answer are never taken for the next one."""

        async def doubled(server, reader, writer):
            while True:
                body = await server.read_request(reader)
                writer.write(http_answer(body) + http_answer(b"not asked for"))

        await self.serve_raw(doubled)
        for body in (b"first", b"second", b"third"):
            answer = await self.send("POST", "/", body=body)
            self.assertEqual(answer.body, body)

    async def test_unasked_answer_on_an_idle_connection_is_dropped(self):
        """What arrives while a connection is idle closes it."""

        async def unasked(server, reader, writer):
            body = await server.read_request(reader)
            writer.write(http_answer(body))
            await server.released.wait()
            writer.write(http_answer(b"not asked for"))
            await server.wait_and_count_close(reader)

        server = await self.serve_raw(unasked)
        await self.send("POST", "/", body=b"first")
        server.released.set()
        await server.wait_for(lambda: server.n_closed == 1)
        answer = await self.send("POST", "/", body=b"second")
        self.assertEqual(answer.body, b"second")

    async def test_many_at_once_get_their_own_answers(self):
        """Of many requests, some given up, each one gets its own answer or none."""
        server = await self.serve_raw(echo)
        loop = asyncio.get_running_loop()

        async def ask(number):
            body = b"slow" if number % 5 == 0 else b"%d" % number
            timeout = SHORT if body == b"slow" else timedelta(seconds=20)
            try:
                answer = await self.send("POST", "/", body=body, timeout=timeout)
            except (AnswerLostError, NotConnectedError):
                self.assertEqual(body, b"slow")
                loop.call_later(0.01, server.released.set)
                return
            self.assertEqual(answer.body, body)

        for _ in range(4):
            server.released.clear()
            await asyncio.gather(*(ask(number) for number in range(40)))


class TestPartOfAnAnswer(HttpTestCase):
    """Answers that are no whole ones."""

    async def test_part_of_an_answer_is_no_answer(self):
        """A cut or unbounded answer is lost, and its request was sent once."""
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
            "no HTTP": b"220 mail.example ESMTP\r\n\r\n",
            "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Content-Length: 4\r\n\r\nbody",
            "a head that is not one": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"no header\r\nX: y\r\n\r\nok",
            "a chunk longer than it says": chunked + b"2\r\nbody0\r\n\r\n",
            "a further coding": chunked.replace(b"chunked", b"gzip, chunked")
            + b"2\r\nbo\r\n0\r\n\r\n",
            "only an interim answer": b"HTTP/1.1 103 Early Hints\r\n\r\n",
        }
        for name, answer in cases.items():
            for method in ("POST", "PUT"):
                with self.subTest(cut=name, method=method):
                    async with RawServer(once(answer)) as server:
                        with self.assertRaises(AnswerLostError):
                            await self.send(
                                method, "/", body=b"x", address=server.address
                            )
                        self.assertEqual(len(server.requests), 1)
        self.assertEqual(self.pool.n_idle, 0)

    async def test_whole_answers(self):
        """An answer with a length, in chunks or without a body is whole."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            (http_answer(b"body"), b"body"),
            (http_answer(b""), b""),
            (chunked + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", b"body"),
            (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        )
        for answer, body in cases:
            with self.subTest(answer=answer):
                async with RawServer(once(answer)) as server:
                    got = await self.send("POST", "/", address=server.address)
                    self.assertEqual(got.body, body)

    async def test_too_long_an_answer_is_refused(self):
        """An answer above the limit is not taken, whatever its framing."""
        pool = ClientPool(ClientLimits(max_answer_bytes=100))
        self.addAsyncCleanup(pool.close)
        self.pool = pool
        chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for answer in (http_answer(b"x" * 101), chunked + chunk * 2 + b"0\r\n\r\n"):
            async with RawServer(once(answer)) as server:
                with self.assertRaises(AnswerLostError):
                    await self.send("POST", "/", address=server.address)


class TestReuse(HttpTestCase):
    """Kept connections."""

    async def test_connection_is_kept_after_a_whole_answer(self):
        """Requests in turn share a connection, requests at once do not."""
        async with RawServer(echo) as server:
            for _ in range(5):
                await self.send("POST", "/", body=b"x", address=server.address)
            self.assertEqual(server.n_connections, 1)
            asks = (
                self.send("POST", "/", body=b"x", address=server.address)
                for _ in range(3)
            )
            await asyncio.gather(*asks)
            self.assertEqual(server.n_connections, 3)

    async def test_closed_idle_connection_is_not_used(self):
        """A connection that the other side closed while idle is replaced."""

        async def close_after_each(server, reader, writer):
            body = await server.read_request(reader)
            writer.write(http_answer(body))

        async with RawServer(close_after_each) as server:
            for _ in range(3):
                await self.send("POST", "/", body=b"x", address=server.address)
                await server.wait_for(lambda: not server.n_open)
            self.assertEqual(len(server.requests), 3)

    async def test_reused_connection_that_fails_means_no_second_send(self):
        """A request on a kept connection that closes unanswered is sent once."""

        async def second_unanswered(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.read_request(reader)

        for method in ("POST", "PUT", "DELETE"):
            async with RawServer(second_unanswered) as server:
                await self.send(method, "/", body=b"1", address=server.address)
                with self.assertRaises(AnswerLostError):
                    await self.send(method, "/", body=b"2", address=server.address)
                self.assertEqual(len(server.requests), 2)
                self.assertEqual(server.n_connections, 1)

    async def test_idle_connections_are_closed_in_time_and_in_number(self):
        """Idle connections are kept for a while, and only so many."""
        cfg = ClientLimits(idle_timeout=SHORT, max_idle_per_peer=1)
        self.pool = ClientPool(cfg)

        async def watched(server, reader, writer):
            writer.write(http_answer(await server.read_request(reader)))
            await server.wait_and_count_close(reader)

        async with RawServer(watched) as server:
            asks = (
                self.send("POST", "/", body=b"x", address=server.address)
                for _ in range(3)
            )
            await asyncio.gather(*asks)
            self.assertLessEqual(self.pool.n_idle, 1)
            await server.wait_for(lambda: server.n_closed == 3)
            self.assertEqual(self.pool.n_idle, 0)


class TestBoundedWaits(HttpTestCase):
    """Waits end."""

    async def test_nothing_is_sent_when_no_connection_comes_about(self):
        """A refused connection is told apart from a lost answer."""
        async with RawServer(echo) as server:
            address = server.address
        with self.assertRaises(NotConnectedError):
            await self.send("POST", "/", body=b"x", address=address)

    async def test_silence_ends_with_the_timeout(self):
        """A peer that reads nothing and says nothing loses the answer in time."""

        async def deaf(server, reader, writer):
            await asyncio.Event().wait()

        async with RawServer(deaf) as server:
            for body in (b"x", b"x" * 8_000_000):
                with self.assertRaises(AnswerLostError):
                    await self.send(
                        "POST", "/", body=body, address=server.address, timeout=SHORT
                    )

    async def test_close_ends_requests_under_way(self):
        """Closing the pool loses the answers that were still waited for."""
        async with RawServer(echo) as server:
            server.released = asyncio.Event()
            ask = self.send(
                "POST", "/", body=b"slow", address=server.address, timeout=HOUR
            )
            task = asyncio.create_task(ask)
            await server.wait_for(lambda: server.requests)
            await self.pool.close()
            with self.assertRaises(AnswerLostError):
                await asyncio.wait_for(task, LONG.total_seconds())


if __name__ == "__main__":
    unittest.main()
