"""Decoding of what other programs write, which may be anything."""

from typing import Annotated, Any

import msgspec

from .exceptions import RedwingslipError

__all__ = [
    "MAX_WHOLE",
    "Amount",
    "Figure",
    "UndecodableError",
    "Whole",
    "decode_document",
]

# The largest number up to which every JSON library holds all whole numbers exactly. The
# log holds 64 bits, so that sums of such numbers fit too.
MAX_WHOLE = 2**53 - 1
# More than any machine has: a million cores, or a petabyte of memory.
MAX_AMOUNT = 1_000_000_000

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE)]
# Resources of one machine, or of one task.
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


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
