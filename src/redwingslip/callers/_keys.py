"""Keys: made once, kept as hashes, found by the name that they carry."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

from ..fleet import FleetView
from .exceptions import UnauthorizedError

__all__ = [
    "authenticate",
    "bearer_token",
    "has_known_token",
    "hash_secret",
    "make_secret",
    "parse_key",
    "secret_matches",
]

PREFIX = "rw"
N_SECRET_BYTES = 32
SCHEME = "bearer "

_NO_HASH = "0" * 64


def make_secret(name: str) -> str:
    """Return a new secret for the key `name`, as ``rw.<name>.<random>``."""
    return f"{PREFIX}.{name}.{secrets.token_urlsafe(N_SECRET_BYTES)}"


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a whole secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_key(secret: str) -> str | None:
    """Return the name that a secret carries, or None when it has no such form."""
    prefix, _, rest = secret.partition(".")
    name, _, random = rest.rpartition(".")
    if prefix != PREFIX or not name or not random:
        return None
    return name


def secret_matches(secret: str, sha256: str) -> bool:
    """Return whether a secret has this hash, in constant time."""
    return hmac.compare_digest(hash_secret(secret), sha256)


def authenticate(view: FleetView, secret: str | None) -> str:
    """Return the team whose key `secret` is.

    Raises
    ------
    UnauthorizedError
        There is no key, or it is not, or no longer, one of the fleet's.
    """
    if secret is None:
        raise UnauthorizedError("send a key as 'Authorization: Bearer KEY'")
    name = parse_key(secret)
    spec = None if name is None else view.key(name)
    sha256 = _NO_HASH if spec is None else spec.sha256
    if not secret_matches(secret, sha256) or spec is None:
        raise UnauthorizedError("the key is not known, or was withdrawn")
    return spec.team


def bearer_token(header: str | None) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header, or None."""
    if header is None or not header.lower().startswith(SCHEME):
        return None
    return header[len(SCHEME) :].strip() or None


def has_known_token(header: str | None, token_hashes: Iterable[str]) -> bool:
    """Return whether an ``Authorization`` header bears a token with a known hash."""
    token = bearer_token(header)
    if token is None:
        return False
    found = [secret_matches(token, sha256) for sha256 in token_hashes]
    return any(found)
