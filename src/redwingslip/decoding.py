"""Decoding of what other programs write, which may be anything."""

from typing import Any

import msgspec

from .exceptions import RedwingslipError

__all__ = ["UndecodableError", "decode_document"]


class UndecodableError(RedwingslipError):
    """A document can't be decoded."""


def decode_document(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return a decoded document; raise `UndecodableError` for any other data."""
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise UndecodableError("nested too deeply") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise UndecodableError(str(exc)) from exc
