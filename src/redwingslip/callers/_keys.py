"""API keys and bearer tokens.

The secret of a key contains the name of the key. The fleet stores only the hash of
the secret, under that name.
"""

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

SECRET_PREFIX = "rw"
N_SECRET_BYTES = 32
BEARER_PREFIX = "bearer "

# Compared with the secret if no key has its name, so that the time to refuse a secret
# does not show whether a key exists.
_DUMMY_HASH = "0" * 64


def make_secret(name: str) -> str:
    """Return a new secret for the key `name`, as ``rw.<name>.<random>``."""
    return f"{SECRET_PREFIX}.{name}.{secrets.token_urlsafe(N_SECRET_BYTES)}"


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a whole secret, in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_key(secret: str) -> str | None:
    """Return the key name in a secret, or None if the secret is malformed."""
    prefix, _, rest = secret.partition(".")
    name, _, random = rest.rpartition(".")
    if prefix != SECRET_PREFIX or not name or not random:
        return None
    return name


def secret_matches(secret: str, sha256: str) -> bool:
    """Return whether a secret has this hash; compares in constant time."""
    return hmac.compare_digest(hash_secret(secret), sha256)


def authenticate(view: FleetView, secret: str | None) -> str:
    """Return the team that owns the key with this secret.

    Raises
    ------
    UnauthorizedError
        No secret was given, or no key has it: the key is unknown or withdrawn.
    """
    if secret is None:
        raise UnauthorizedError("send a key as 'Authorization: Bearer KEY'")
    name = parse_key(secret)
    spec = None if name is None else view.key(name)
    sha256 = _DUMMY_HASH if spec is None else spec.sha256
    if not secret_matches(secret, sha256) or spec is None:
        raise UnauthorizedError("the key is unknown or has been withdrawn")
    return spec.team


def bearer_token(header: str | None) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header, or None."""
    if header is None or not header.lower().startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX) :].strip() or None


def has_known_token(header: str | None, token_hashes: Iterable[str]) -> bool:
    """Return whether an ``Authorization`` header has a token with a known hash.

    The token is compared with every hash, also after a match.
    """
    token = bearer_token(header)
    if token is None:
        return False
    results = [secret_matches(token, sha256) for sha256 in token_hashes]
    return any(results)
