"""Tests of the limits on TLS handshakes."""

import asyncio
import contextlib
import shutil
import ssl
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from redwingslip.handshakes import TlsHandshakes
from tests.support_tls import Authority

N_CLIENTS = 10
MAX_INCOMPLETE = 3


class Echo(asyncio.Protocol):
    """Hands its connection over, and sends back what it receives."""

    def __init__(self, handshakes):
        self._handshakes = handshakes
        self._transport = None

    def connection_made(self, transport):
        """Begin the handshake, or use the encrypted connection."""
        if transport.get_extra_info("sslcontext") is None:
            self._handshakes.begin(transport, self)
        else:
            self._transport = transport

    def data_received(self, data):
        """Send the data back."""
        self._transport.write(data)


class TestTlsHandshakes(unittest.IsolatedAsyncioTestCase):
    """A server that allows three incomplete handshakes."""

    async def asyncSetUp(self):
        folder = Path(tempfile.mkdtemp(prefix="redwingslip-tls-"))
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        tls = Authority(folder / "authority").settings()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(tls.certificate, tls.key)
        self.client = ssl.create_default_context(cafile=tls.authority)
        await self.start(context)

    async def start(self, context, timeout=timedelta(seconds=30)):
        """Start a server with a time limit."""
        self.handshakes = TlsHandshakes(
            context, max_incomplete=MAX_INCOMPLETE, timeout=timeout
        )
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Echo(self.handshakes), "127.0.0.1", 0
        )
        self.addCleanup(self.server.close)

    async def connect(self, **options):
        """Return reader and writer of a new connection."""
        port = self.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port, **options)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def check_echo(self):
        """Check that an ordinary client is served, also with immediate data."""
        reader, writer = await self.connect(ssl=self.client)
        writer.write(b"hello")
        self.assertEqual(await reader.readexactly(5), b"hello")

    async def wait_closed(self, reader):
        """Wait until the server has closed a connection."""
        with contextlib.suppress(ConnectionError):
            await reader.read()

    async def test_oldest_incomplete_handshakes_are_closed(self):
        """Guards against clients that connect and never send a handshake."""
        readers = [(await self.connect())[0] for _ in range(N_CLIENTS)]
        for reader in readers[:-MAX_INCOMPLETE]:
            await self.wait_closed(reader)
        await self.check_echo()

    async def test_slow_handshake_is_closed(self):
        """Guards against handshakes that take a minute."""
        await self.start(self.handshakes.context, timedelta(milliseconds=50))
        reader, _ = await self.connect()
        await self.wait_closed(reader)

    async def test_what_is_no_handshake_is_closed(self):
        """Guards against handshakes that stay counted after they have failed."""
        for _ in range(N_CLIENTS):
            reader, writer = await self.connect()
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await self.wait_closed(reader)
        await self.check_echo()

    async def test_close_closes_incomplete_ones(self):
        """Guards against connections that outlive their server."""
        reader, _ = await self.connect()
        await self.check_echo()
        self.handshakes.close()
        await self.wait_closed(reader)
