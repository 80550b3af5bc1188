"""Tests of the TLS contexts."""

import asyncio
import datetime
import ipaddress
import pathlib
import ssl
import tempfile
import unittest

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from redwingslip.settings import InvalidSettingsError, TlsSettings, load_tls

LOCALHOST = ipaddress.ip_address("127.0.0.1")


class Authority:
    """Signs certificates for a test.

    Parameters
    ----------
    folder : Path
        Where the files go.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        folder.mkdir()
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, folder.name)])
        certificate = self._sign(self._name, self._key, is_authority=True)
        self.path = self._write("ca.pem", certificate)

    def settings(self) -> TlsSettings:
        """Return settings with a new certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "process")])
        pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        key_path = self._folder / "key.pem"
        key_path.write_bytes(pem)
        certificate = self._write("cert.pem", self._sign(name, key))
        return TlsSettings(certificate=certificate, key=key_path, authority=self.path)

    def _sign(self, name, key, *, is_authority: bool = False) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        day = datetime.timedelta(days=1)
        constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
        address = x509.SubjectAlternativeName([x509.IPAddress(LOCALHOST)])
        builder = x509.CertificateBuilder(issuer_name=self._name, subject_name=name)
        builder = builder.public_key(key.public_key())
        builder = builder.serial_number(x509.random_serial_number())
        builder = builder.not_valid_before(now - day).not_valid_after(now + day)
        builder = builder.add_extension(constraints, critical=True)
        builder = builder.add_extension(address, critical=False)
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name: str, certificate: x509.Certificate) -> pathlib.Path:
        path = self._folder / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return path


class TestLoadTls(unittest.IsolatedAsyncioTestCase):
    """Links over TLS."""

    def setUp(self):
        """Make two authorities."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.own = Authority(folder / "own")
        self.foreign = Authority(folder / "foreign")

    async def exchange(self, server: ssl.SSLContext, client: ssl.SSLContext) -> bytes:
        """Send a byte over a new connection and return what comes back, if any."""
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

    async def test_processes_of_one_authority_talk(self):
        """Certificates that name the IP number are accepted on both sides."""
        contexts = load_tls(self.own.settings())
        self.assertEqual(await self.exchange(contexts.server, contexts.client), b"x")

    async def test_foreign_certificates_are_refused_on_both_sides(self):
        """Neither a foreign server nor a foreign client gets through."""
        own = load_tls(self.own.settings())
        foreign = load_tls(self.foreign.settings())
        nameless = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        nameless.load_verify_locations(cafile=self.own.path)
        stranger = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        stranger.load_verify_locations(cafile=self.own.path)
        cfg = self.foreign.settings()
        stranger.load_cert_chain(cfg.certificate, cfg.key)
        cases = {
            "foreign server": (foreign.server, own.client),
            "client without a certificate": (own.server, nameless),
            "client with a foreign certificate": (own.server, stranger),
        }
        for name, (server, client) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.exchange(server, client), b"")

    def test_disabled_encryption_has_no_contexts(self):
        """The caller then uses plain connections."""
        self.assertIsNone(load_tls(TlsSettings(enabled=False)))

    def test_files_that_cannot_be_used_are_all_named(self):
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
