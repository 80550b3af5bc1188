"""Tests that VMs whose answers don't end can't take the memory of a controller.

Like `test_memory_reports`; the VMs are reported, and answer each call with data that
go on until the connection is closed.
"""

import asyncio
import contextlib
import itertools

from tests.support_memory import CROWD_HOST
from tests.test_memory_limits import JOB, JOB_PATH
from tests.test_memory_reports import ReportsCase

N_VMS = 20
HOLD_S = 5.0
PIECE = bytes(1 << 16)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def long_chunk():
    """Yield an answer of one chunk of 1 GiB."""
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n40000000\r\n"
    yield from itertools.repeat(PIECE)


def allowed_chunk():
    """Yield an answer of one chunk below the limit that is never complete."""
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n780000\r\n"
    yield from itertools.repeat(PIECE, 119)


def long_body():
    """Yield an answer that declares 1 GiB."""
    yield HEAD + b"Content-Length: 1073741824\r\n\r\n"
    yield from itertools.repeat(PIECE)


def long_head():
    """Yield an answer whose headers don't end."""
    yield HEAD
    for number in itertools.count():
        yield b"".join(b"X-%d-%d: %b\r\n" % (number, i, b"x" * 200) for i in range(300))


class TestAnswers(ReportsCase):
    """A controller that leads, and VMs that answer without an end."""

    async def serve(self, new_answer):
        """Start a VM; return its address."""

        async def handle(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                for data in new_answer():
                    writer.write(data)
                    await writer.drain()
                await reader.read()
            writer.transport.abort()

        server = await asyncio.start_server(handle, CROWD_HOST, 0)
        self.addCleanup(server.close)
        return f"{CROWD_HOST}:{server.sockets[0].getsockname()[1]}"

    async def check_answers(self, new_answer):
        """Report the VMs, let the leader call them for a while, check the bounds."""
        addresses = [await self.serve(new_answer) for _ in range(N_VMS)]
        await self.send_reports(addresses)
        await asyncio.sleep(HOLD_S)
        status = await self.wait_status("gateway", "POST", JOB_PATH, JOB)
        await self.check_bounds(asyncio.sleep(0, status))
        self.assertEqual(status, 200)

    async def test_chunk_of_great_length(self):
        """Guards against a chunk that is read whole before its size is looked at."""
        await self.check_answers(long_chunk)

    async def test_chunk_below_the_limit(self):
        """Guards against answers that are allowed each, and too much together."""
        await self.check_answers(allowed_chunk)

    async def test_body_of_great_length(self):
        """Guards against a body that is read although it is declared too long."""
        await self.check_answers(long_body)

    async def test_head_without_end(self):
        """Guards against headers without a limit."""
        await self.check_answers(long_head)
