"""Tests of the TLS contexts."""

import asyncio
import pathlib
import ssl
import tempfile
import unittest

from redwingslip.settings import InvalidSettingsError, TlsSettings, load_tls
from tests.support_tls import Authority


class TestLoadTls(unittest.IsolatedAsyncioTestCase):
    """Connections with the loaded TLS contexts."""

    def setUp(self):
        """Create two certificate authorities."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.own = Authority(folder / "own")
        self.foreign = Authority(folder / "foreign")

    async def exchange(self, server: ssl.SSLContext, client: ssl.SSLContext) -> bytes:
        """Send a byte over a new connection and return the echo, or b"" on failure."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

        async def answer(reader, writer) -> None:
            writer.write(await reader.read(1))
            writer.close()

        listener = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=server)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port, ssl=client
                )
                writer.write(b"x")
                received = await reader.read()
            except (ssl.SSLError, ConnectionError):
                return b""
            writer.close()
            return received

    async def test_processes_of_one_authority_can_connect(self):
        """Certificates that name the IP address are accepted on both sides."""
        contexts = load_tls(self.own.settings())
        self.assertEqual(await self.exchange(contexts.server, contexts.client), b"x")

    async def test_foreign_certificates_are_refused_on_both_sides(self):
        """Neither a foreign server nor a foreign client is accepted."""
        own = load_tls(self.own.settings())
        foreign = load_tls(self.foreign.settings())
        uncertified = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        uncertified.load_verify_locations(cafile=self.own.path)
        foreign_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        foreign_client.load_verify_locations(cafile=self.own.path)
        cfg = self.foreign.settings()
        foreign_client.load_cert_chain(cfg.certificate, cfg.key)
        cases = {
            "foreign server": (foreign.server, own.client),
            "client without a certificate": (own.server, uncertified),
            "client with a foreign certificate": (own.server, foreign_client),
        }
        for name, (server, client) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.exchange(server, client), b"")

    def test_disabled_encryption_has_no_contexts(self):
        """The caller then uses plain connections."""
        self.assertIsNone(load_tls(TlsSettings(enabled=False)))

    def test_all_unusable_files_are_reported(self):
        """A missing certificate does not hide a bad authority."""
        cfg = TlsSettings(
            certificate=pathlib.Path("/absent.pem"),
            key=pathlib.Path("/absent.key"),
            authority=pathlib.Path(__file__),
        )
        with self.assertRaises(InvalidSettingsError) as caught:
            load_tls(cfg)
        options = [problem.option for problem in caught.exception.exceptions]
        self.assertEqual(options, ["certificate", "authority"])


if __name__ == "__main__":
    unittest.main()
