"""A certificate authority for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from redwingslip.settings import TlsSettings

N_HOSTS = 8

ADDRESSES = [ipaddress.ip_address("127.0.0.1")]
ADDRESSES += [ipaddress.ip_address(f"127.0.0.{i + 21}") for i in range(N_HOSTS)]
ADDRESSES += [ipaddress.ip_address(f"127.0.1.{i + 1}") for i in range(N_HOSTS)]
ADDRESSES += [ipaddress.ip_address(f"127.0.2.{i + 1}") for i in range(N_HOSTS)]


class Authority:
    """Signs certificates for the loopback addresses of a test.

    Parameters
    ----------
    folder : Path
        New folder for the certificate and key files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        folder.mkdir()
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, folder.name)])
        certificate = self._sign(self._name, self._key, is_authority=True)
        self.path = self._write("ca.pem", certificate)

    def settings(self) -> TlsSettings:
        """Return TLS settings with a new key and certificate."""
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
        address = x509.SubjectAlternativeName(map(x509.IPAddress, ADDRESSES))
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
