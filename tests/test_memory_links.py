"""Tests that senders on the port for peers can't take the memory of a daemon.

Like `test_memory_limits`: processes on loopback addresses, fixed numbers of clients and
fixed bounds. A test checks that the process lives, that its peak resident memory and
its descriptors are below the bounds, and that an ordinary request is answered.
"""

import asyncio
import contextlib
import json
import shutil
import tempfile
from pathlib import Path
from typing import ClassVar

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from hpack import Encoder
from hyperframe.frame import (
    DataFrame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
)

from tests.support_fleet import plan
from tests.support_memory import CROWD_HOST, SEND_TIMEOUT_S
from tests.support_tls import Authority
from tests.test_memory_limits import JOB, JOB_PATH, MemoryCase

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()
N_CONNECTIONS = 6
N_RESET_STREAMS = 20_000
N_PINGS = 200_000
N_FRAMES_PER_WRITE = 500
# The server keeps 128 connections of unknown senders.
N_WAITING_CONNECTIONS = 160
N_FAILED_HANDSHAKES = 1_000
WINDOW_BYTES = 1 << 20
MESSAGE_BYTES = 160 << 20
FRAME_BYTES = 16 << 10
WINDOW_WAIT_S = 0.01
N_WINDOW_WAITS = 200


class HeaderBlocks:
    """Header blocks of requests that open a stream between processes."""

    def __init__(self, secret):
        self._encoder = Encoder()
        self.headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/redwingslip.Peers/Exchange"),
            (":authority", "peer"),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
            ("redwingslip-sender", "crowd"),
            ("redwingslip-secret", secret),
        ]

    def next(self):
        """Return the next block; later ones refer to the table of the first."""
        return self._encoder.encode(self.headers)


def open_stream(blocks, number):
    """Return the frame that opens the stream with a number, from 0."""
    frame = HeadersFrame(2 * number + 1, blocks.next(), flags=["END_HEADERS"])
    return frame.serialize()


def reset_streams(secret):
    """Yield frames that open streams and reset each of them at once."""
    blocks = HeaderBlocks(secret)
    for first in range(0, N_RESET_STREAMS, N_FRAMES_PER_WRITE):
        data = bytearray()
        for number in range(first, first + N_FRAMES_PER_WRITE):
            data += open_stream(blocks, number)
            data += RstStreamFrame(2 * number + 1, error_code=8).serialize()
        yield bytes(data)


def pings():
    """Yield pings; each must be answered."""
    data = PingFrame(0, opaque_data=b"8 octets").serialize() * N_FRAMES_PER_WRITE
    for _ in range(N_PINGS // N_FRAMES_PER_WRITE):
        yield data


def full_window():
    """Yield a stream without the secret, and as much data as the window allows."""
    yield open_stream(HeaderBlocks("not the secret"), 0)
    frame = DataFrame(1, bytes(FRAME_BYTES)).serialize()
    for _ in range(WINDOW_BYTES // FRAME_BYTES):
        yield frame


class LinksCase(MemoryCase):
    """A controller that leads and a gateway, and senders at their ports for peers."""

    roles = ("controller", "gateway")

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.dumps(plan(1)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)

    async def send_frames(self, role, frames):
        """Send frames on a connection that reads nothing; keep it open."""
        host, port = self.daemons.links(role)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    host, port, local_addr=(CROWD_HOST, 0)
                )
                self.addCleanup(writer.transport.abort)
                writer.write(PREFACE)
                for data in frames:
                    writer.write(data)
                    await writer.drain()

    async def send_crowd(self, role, new_frames, n_connections=N_CONNECTIONS):
        """Send the same kind of frames on several connections at once."""
        await asyncio.gather(
            *(self.send_frames(role, new_frames()) for _ in range(n_connections))
        )

    async def send_long_message(self, role, secret):
        """Send a message of a great declared length, as fast as the window allows."""
        host, port = self.daemons.links(role)
        conn = H2Connection(H2Configuration(client_side=True))
        conn.initiate_connection()
        conn.send_headers(1, HeaderBlocks(secret).headers)
        n_left = MESSAGE_BYTES
        conn.send_data(1, b"\0" + n_left.to_bytes(4, "big"))
        with contextlib.suppress(OSError, TimeoutError, ProtocolError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, port, local_addr=(CROWD_HOST, 0)
                )
                self.addCleanup(writer.transport.abort)
                receiver = asyncio.create_task(self._receive(reader, conn))
                n_waits = 0
                while n_left and n_waits < N_WINDOW_WAITS and not receiver.done():
                    n_bytes = min(n_left, FRAME_BYTES)
                    if conn.local_flow_control_window(1) < n_bytes:
                        n_waits += 1
                        await asyncio.sleep(WINDOW_WAIT_S)
                    else:
                        n_waits = 0
                        conn.send_data(1, bytes(n_bytes))
                        n_left -= n_bytes
                    writer.write(conn.data_to_send())
                    await writer.drain()
                receiver.cancel()
                await asyncio.gather(receiver, return_exceptions=True)

    async def _receive(self, reader, conn):
        while data := await reader.read(1 << 16):
            conn.receive_data(data)

    async def check_role(self):
        """Check both processes, and that a job is accepted."""
        status = await self.wait_status("gateway", "POST", JOB_PATH, JOB)
        await self.check_bounds(asyncio.sleep(0, status))
        self.assertEqual(status, 200)


class TestUnknownSenders(LinksCase):
    """Senders without the secret of the cluster."""

    async def test_streams_that_are_reset_at_gateway(self):
        """Guards against tasks and streams of strangers that accumulate."""
        await self.send_crowd("gateway", lambda: reset_streams("not the secret"))
        await self.check_role()

    async def test_streams_that_are_reset_at_controller(self):
        """Guards against tasks and streams of strangers that accumulate."""
        await self.send_crowd("controller", lambda: reset_streams("not the secret"))
        await self.check_role()

    async def test_pings_whose_answers_are_not_read(self):
        """Guards against answers that accumulate because they are never read."""
        await self.send_crowd("controller", pings)
        await self.check_role()

    async def test_data_without_secret(self):
        """Guards against data that is kept before its sender is known."""
        await self.send_crowd("controller", full_window, N_WAITING_CONNECTIONS)
        await self.check_role()

    async def test_incomplete_frames(self):
        """Guards against frames that are announced long and never end."""
        start = (FRAME_BYTES).to_bytes(3, "big") + b"\x01\x04" + (1).to_bytes(4, "big")
        await self.send_crowd(
            "controller",
            lambda: [start + bytes(FRAME_BYTES - 1)],
            N_WAITING_CONNECTIONS,
        )
        await self.check_role()


class TestHandshakes(LinksCase):
    """Clients of a port for peers with TLS that send no handshake."""

    extra_settings: ClassVar[dict[str, str]] = {}

    async def asyncSetUp(self):
        folder = Path(tempfile.mkdtemp(prefix="redwingslip-tls-"))
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        tls = Authority(folder / "authority").settings()
        settings = (
            f"[tls]\nenabled = yes\ncertificate = {tls.certificate}\n"
            f"key = {tls.key}\nauthority = {tls.authority}\n"
            "[links]\nmax_unknown = 20\n"
        )
        self.extra_settings = dict.fromkeys(self.roles, settings)
        await super().asyncSetUp()

    async def test_handshakes_that_are_not_sent(self):
        """Guards against connections that no limit counts before their handshake."""
        for role in self.roles:
            host, port = self.daemons.links(role)
            await self.crowd_at(f"{host}:{port}").send(N_WAITING_CONNECTIONS, b"")
        await self.check_role()

    async def test_handshakes_that_fail(self):
        """Guards against the memory of failed handshakes that is freed late."""
        for role in self.roles:
            host, port = self.daemons.links(role)
            crowd = self.crowd_at(f"{host}:{port}")
            for _ in range(N_FAILED_HANDSHAKES):
                await crowd.send(1, b"no handshake")
                await crowd.close()
        await self.check_role()


class TestMembers(LinksCase):
    """Senders that have the secret of the cluster, and break the protocol."""

    async def test_streams_that_are_reset(self):
        """Guards against a member whose streams accumulate."""
        await self.send_crowd("controller", lambda: reset_streams("tests"), 1)
        await self.check_role()

    async def test_message_of_great_length(self):
        """Guards against a message that is longer than any of a member."""
        await self.send_long_message("controller", "tests")
        await self.check_role()
