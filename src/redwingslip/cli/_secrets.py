"""Secrets of keys, made on the operator's machine."""

import hashlib
import secrets

__all__ = ["hash_secret", "make_secret"]

PREFIX = "rw"
N_SECRET_BYTES = 32


def make_secret(name: str) -> str:
    """Return a new secret for the key `name`, as ``rw.<name>.<random>``."""
    return f"{PREFIX}.{name}.{secrets.token_urlsafe(N_SECRET_BYTES)}"


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()
