"""Tests of the turns in which the input of connections is processed."""

import asyncio
import contextlib
from datetime import timedelta

from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from redwingslip.clock import ManualClock
from redwingslip.http import HttpLimits, HttpServer, build_app, read_body
from redwingslip.http._input_turns import MAX_TURN, InputTurns
from tests.support_virtual_time import VirtualTimeTestCase

TURN = timedelta(milliseconds=2)
N_TURNS = 20
N_REQUESTS = 50
BODY = bytes(range(256)) * 1_000
LIMITS = HttpLimits(drain_time=timedelta(0))


class FakeConnection:
    """A connection whose every turn takes 2 ms."""

    def __init__(self, name, peer, turns, log, n_left=N_TURNS):
        self.name = name
        self.peer = peer
        self.n_left = n_left
        self.error = None
        self.is_aborted = False
        self._turns = turns
        self._log = log

    def take_turn(self):
        """Record the turn, and advance the clock."""
        if self.error is not None:
            raise self.error
        self._log.append(self.name)
        self._turns.clock.advance(TURN)
        self.n_left -= 1
        return self.n_left > 0

    def abort(self):
        """Record that the connection was closed."""
        self.is_aborted = True


class TestInputTurns(VirtualTimeTestCase):
    """Connections of a crowd and of an ordinary caller."""

    async def asyncSetUp(self):
        self.log = []
        self.turns = InputTurns(ManualClock())

    def connect(self, name, peer, n_left=N_TURNS):
        """Submit the input of a new connection."""
        conn = FakeConnection(name, peer, self.turns, self.log, n_left)
        self.turns.submit(conn)
        return conn

    async def wait_turns(self, n_turns):
        """Return once a number of turns were taken."""
        while len(self.log) < n_turns:  # noqa: ASYNC110
            await asyncio.sleep(0)

    async def test_one_iteration_of_the_loop_is_bounded(self):
        """Guards against input that takes the event loop for seconds."""
        for number in range(30):
            self.connect(f"c{number}", "crowd")
        lengths = []
        while len(self.log) < 30 * N_TURNS:
            n_before = len(self.log)
            await asyncio.sleep(0)
            lengths.append(len(self.log) - n_before)
        self.assertLessEqual(max(lengths), MAX_TURN // TURN)

    async def test_other_address_waits_for_one_turn(self):
        """Guards against a crowd of one address that holds up an ordinary caller."""
        for number in range(30):
            self.connect(f"c{number}", "crowd")
        self.connect("ordinary", "caller", n_left=1)
        n_before = len(self.log)
        await self.wait_turns(n_before + 2)
        self.assertIn("ordinary", self.log[n_before : n_before + 2])

    async def test_connections_of_an_address_take_turns(self):
        """Guards against one connection that holds up the others of its address."""
        for name in "abc":
            self.connect(name, "crowd")
        await self.wait_turns(30)
        counts = [self.log.count(name) for name in "abc"]
        self.assertLessEqual(max(counts) - min(counts), 2)

    async def test_error_with_one_connection_does_not_hold_up_others(self):
        """Guards against an unexpected error that leaves input waiting for good."""
        self.connect("a", "crowd")
        broken = self.connect("broken", "other", n_left=1)
        self.connect("b", "third")
        broken.error = ValueError("unexpected")
        with self.assertLogs("uvicorn.error"):
            await self.wait_turns(2 * N_TURNS)
        self.assertTrue(broken.is_aborted)
        self.assertEqual(self.log.count("b"), N_TURNS)

    async def test_closed_connection_has_no_further_turn(self):
        """Guards against turns of connections that have been closed."""
        conns = [self.connect(f"c{number}", "crowd") for number in range(10)]
        for conn in conns:
            self.turns.remove(conn)
        n_before = len(self.log)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(len(self.log), n_before)


class TestServer(VirtualTimeTestCase):
    """A server that answers with the size of the body."""

    async def asyncSetUp(self):
        async def answer(req: Request):
            body = await read_body(req, LIMITS)
            return PlainTextResponse(str(sum(body)))

        app = build_app([Route("/", answer, methods=["POST"])])
        self.server = HttpServer(app, LIMITS)
        await self.server.start()
        self.addAsyncCleanup(self.server.abort)

    async def exchange(self, data, n_answers):
        """Send data and return the bodies of the answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        with contextlib.closing(writer):
            writer.write(data)
            answers = []
            for _ in range(n_answers):
                head = await reader.readuntil(b"\r\n\r\n")
                (length,) = [
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ]
                answers.append(int(await reader.readexactly(length)))
            return answers

    async def test_body_in_chunks_of_one_byte_is_complete(self):
        """Guards against input that is lost or mixed up between turns."""
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in BODY[:20_000])
        data = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        answers = await self.exchange(data + chunks + b"0\r\n\r\n", 1)
        self.assertEqual(answers, [sum(BODY[:20_000])])

    async def test_pipelined_requests_are_all_answered(self):
        """Guards against input that waits for good behind an answer."""
        data = b""
        sizes = [100, 10_000, 0, 40_000, 1_000]
        for number in range(N_REQUESTS):
            body = BODY[: sizes[number % len(sizes)]]
            data += b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(
                body
            )
            data += body
        expected = [sum(BODY[: sizes[i % len(sizes)]]) for i in range(N_REQUESTS)]
        self.assertEqual(await self.exchange(data, N_REQUESTS), expected)
