"""Tests of the limits, the stop and the TLS of the server, over real sockets."""

import asyncio
import contextlib
import datetime
import ipaddress
import pathlib
import ssl
import tempfile
import unittest
from datetime import timedelta

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from starlette.responses import Response
from starlette.routing import Route

from redwingslip.http import (
    AnswerLostError,
    HttpLimits,
    NotConnectedError,
    TlsFiles,
    read_body,
)
from tests.support_http import LONG, HttpTestCase, json_of

SHORT = timedelta(milliseconds=100)


class ServerTestCase(HttpTestCase):
    """A test case whose only route waits for `release` before it answers."""

    async def asyncSetUp(self):
        """Create the events that the route uses."""
        await super().asyncSetUp()
        self.running = asyncio.Event()
        self.release = asyncio.Event()
        self.release.set()
        self.cfg = HttpLimits()
        self.answer = b""

    async def start(self, cfg=None, **options):
        """Start a server with the route."""
        self.cfg = cfg or self.cfg
        route = Route("/", self.handle, methods=["POST"])
        return await self.serve([route], self.cfg, **options)

    async def handle(self, req):
        """Wait for `release`, then answer with `answer` or the request body."""
        body = await read_body(req, self.cfg)
        self.running.set()
        await self.release.wait()
        return Response(self.answer or body)

    async def connect(self, data=b"", **options):
        """Open a connection and send bytes."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), **options)
        self.addCleanup(lambda: writer.transport.abort())
        writer.write(data)
        return reader, writer

    async def first_line(self, request):
        """Send a request on new connections until one is answered.

        Returns the first line of the answer.
        """
        line = b""
        async with asyncio.timeout(LONG.total_seconds()):
            while not line:
                reader, _ = await self.connect(request)
                with contextlib.suppress(ConnectionError):
                    line = await reader.readline()
        return line

    async def read_to_end(self, reader):
        """Return all bytes until the server closes the connection."""
        try:
            return await asyncio.wait_for(reader.read(), LONG.total_seconds())
        except ConnectionError:
            return b""


class TestLimits(ServerTestCase):
    """Tests of the limits on clients."""

    async def test_long_head(self):
        """A head that is incomplete at the limit is refused with a problem."""
        await self.start(HttpLimits(max_header_bytes=500))
        head = b"POST / HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 2_000
        reader, _ = await self.connect(head)
        with self.assertLogs("uvicorn.error"):
            answer = await self.read_to_end(reader)
        self.assertIn(b"400 Bad Request", answer)
        self.assertIn(b'"outcome":"not-run"', answer)

    async def test_input_that_is_not_http(self):
        """Input that is not HTTP is refused with a problem document."""
        await self.start()
        reader, _ = await self.connect(b"hello\r\n\r\n")
        with self.assertLogs("uvicorn.error"):
            answer = await self.read_to_end(reader)
        self.assertIn(b"problem+json", answer)

    async def test_slow_head(self):
        """A connection whose first head is not complete in time is closed."""
        await self.start(HttpLimits(header_timeout=SHORT))
        for data in (b"", b"POST / HTTP/1.1\r\nHo"):
            reader, _ = await self.connect(data)
            self.assertEqual(await self.read_to_end(reader), b"")

    async def test_slow_second_head(self):
        """A connection whose later head is not complete in time is closed."""
        await self.start(HttpLimits(header_timeout=SHORT))
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
        reader, _ = await self.connect(request + b"POST / HTTP/1.1\r\nHo")
        self.assertIn(b"200 OK", await self.read_to_end(reader))

    async def test_slow_body(self):
        """A request whose body does not arrive in time is refused and not run."""
        await self.start(HttpLimits(body_timeout=SHORT))
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx"
        reader, _ = await self.connect(request)
        answer = await self.read_to_end(reader)
        self.assertIn(b"400 Bad Request", answer)
        self.assertFalse(self.running.is_set())

    async def test_idle_connection(self):
        """An idle connection is closed after the timeout."""
        await self.start(HttpLimits(idle_timeout=SHORT))
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
        reader, _ = await self.connect(request)
        self.assertIn(b"200 OK", await self.read_to_end(reader))

    async def test_connections_per_peer(self):
        """A connection above the limit is closed, and earlier ones stay open.

        A new connection is accepted after an earlier one has closed.
        """
        await self.start(HttpLimits(max_connections_per_peer=2))
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
        first = await self.connect()
        await self.connect()
        third, _ = await self.connect()
        self.assertEqual(await self.read_to_end(third), b"")
        first[1].write(request)
        self.assertIn(b"200 OK", await first[0].readline())
        first[1].transport.abort()
        line = await self.first_line(request)
        self.assertIn(b"200 OK", line)

    async def test_long_run_is_not_a_slow_request(self):
        """The timeouts of a connection do not end a request that is running."""
        cfg = HttpLimits(header_timeout=SHORT, body_timeout=SHORT, idle_timeout=SHORT)
        await self.start(cfg)
        self.release.clear()
        task = asyncio.create_task(self.send("POST", "/", body=b"x"))
        await asyncio.wait({task}, timeout=5 * SHORT.total_seconds())
        self.release.set()
        self.assertEqual((await task).body, b"x")

    async def test_peer_that_does_not_read(self):
        """A connection whose client does not read the answer is closed in time."""
        self.answer = b"x" * 50_000_000
        await self.start(HttpLimits(body_timeout=SHORT, max_connections=1))
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
        await self.connect(request)
        await self.running.wait()
        self.answer = b"short"
        self.assertIn(b"200 OK", await self.first_line(request))

    async def test_sender_of_a_large_body_reads_the_refusal(self):
        """A client that sends far more than the limit still receives the refusal."""
        await self.start(HttpLimits(max_body_bytes=1_000))
        answer = await self.send("POST", "/", body=b"x" * 20_000_000)
        self.assertEqual(answer.status, 413)
        self.assertEqual(json_of(answer)["outcome"], "not-run")


class TestStop(ServerTestCase):
    """Tests of stopping a server."""

    async def test_running_requests_finish(self):
        """A stopping server answers running requests, and refuses new connections."""
        server = await self.start()
        self.release.clear()
        task = asyncio.create_task(self.send("POST", "/", body=b"x"))
        await self.running.wait()
        stop = asyncio.create_task(server.stop(LONG))
        while True:
            try:
                _, writer = await self.connect()
            except OSError:
                break
            writer.transport.abort()
        await asyncio.wait({task}, timeout=0.5)
        self.release.set()
        self.assertEqual((await task).body, b"x")
        await stop
        with self.assertRaises(NotConnectedError):
            await self.send("POST", "/")

    async def test_stopping_server_answers_and_closes_for_the_drain_time(self):
        """Requests within the drain time are answered with Connection: close."""
        server = await self.start(HttpLimits(drain_time=LONG))
        await self.send("POST", "/", body=b"x")
        stop = asyncio.create_task(server.stop(LONG))
        # This is longer than uvicorn needs to notice that it should stop.
        await asyncio.wait({stop}, timeout=0.5)
        for _ in range(2):
            answer = await self.send("POST", "/", body=b"late")
            self.assertEqual(answer.body, b"late")
            self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(self.pool.n_idle, 0)
        stop.cancel()

    async def test_requests_end_after_the_grace_time(self):
        """Requests that still run after the grace time are cancelled."""
        server = await self.start()
        self.release.clear()
        task = asyncio.create_task(self.send("POST", "/", body=b"x"))
        await self.running.wait()
        with self.assertLogs("uvicorn.error"):
            await server.stop(SHORT)
        with contextlib.suppress(AnswerLostError):
            self.assertEqual((await task).status, 500)

    async def test_port_is_free_after_a_stop(self):
        """A stopped server can start again on the same port."""
        server = await self.start()
        await self.send("POST", "/", body=b"x")
        port = server.port
        await server.stop(SHORT)
        await server.start()
        self.assertEqual(server.port, port)
        answer = await self.send("POST", "/", body=b"again")
        self.assertEqual(answer.body, b"again")


class TestTls(ServerTestCase):
    """Tests of TLS."""

    def make_files(self, folder, serial):
        """Write a self-signed certificate and its key; return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "entry")])
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(serial)
            .not_valid_before(now - timedelta(days=1))
            .not_valid_after(now + timedelta(days=1))
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
            .sign(key, hashes.SHA256())
        )
        encoding = serialization.Encoding.PEM
        private = key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        (folder / "cert.pem").write_bytes(certificate.public_bytes(encoding))
        (folder / "key.pem").write_bytes(private)
        return TlsFiles(
            certificate=str(folder / "cert.pem"), key=str(folder / "key.pem")
        )

    async def served_serial(self, files):
        """Return the serial number of the certificate that the server sends."""
        context = ssl.create_default_context(cafile=files.certificate)
        _, writer = await self.connect(ssl=context)
        der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        return x509.load_der_x509_certificate(der).serial_number

    async def test_reload_serves_the_new_certificate(self):
        """New connections get the certificate that has replaced the old one."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            files = self.make_files(folder, 11)
            server = await self.start(tls=files)
            self.assertEqual(await self.served_serial(files), 11)
            self.make_files(folder, 12)
            server.reload_tls()
            self.assertEqual(await self.served_serial(files), 12)

    async def test_clients_without_a_certificate(self):
        """With an authority, only clients with a certificate of it are served."""
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
        with tempfile.TemporaryDirectory() as name:
            files = self.make_files(pathlib.Path(name), 11)
            mutual_tls = msgspec.structs.replace(files, ca=files.certificate)
            await self.start(tls=mutual_tls)
            context = ssl.create_default_context(cafile=files.certificate)
            reader, _ = await self.connect(request, ssl=context)
            line = b""
            with contextlib.suppress(ssl.SSLError, ConnectionError):
                line = await reader.readline()
            self.assertEqual(line, b"")
            self.assertFalse(self.running.is_set())
            context.load_cert_chain(files.certificate, files.key)
            reader, _ = await self.connect(request, ssl=context)
            self.assertIn(b"200 OK", await reader.readline())


if __name__ == "__main__":
    unittest.main()
