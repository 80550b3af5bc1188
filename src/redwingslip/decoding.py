"""Decoding of what other programs write, which may be anything."""

import re
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
    "decode_page",
    "is_whole",
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

# Entries are the items of a list in an object.
ENTRY_LEVEL = 2
# Far more than an entry has, and far less than a decoder follows.
MAX_LEVELS = 100
# The search for deep entries holds up everything else in the process.
MAX_SEARCHED_BYTES = 1_048_576

# Strings, and brackets in a row. A string without an end goes to the end of the data.
_TOKEN = re.compile(
    rb'"(?:[^"\\]|\\.)*+(?:"|\Z)|(?P<opening>[\[{]++)|(?P<closing>[\]}]++)', re.DOTALL
)

_WHOLE = re.compile("[0-9]{1,16}")


class UndecodableError(RedwingslipError):
    """A document can't be decoded."""


def is_whole(text: str) -> bool:
    """Return whether a text is a whole number of at most 16 digits."""
    return _WHOLE.fullmatch(text) is not None


def decode_document(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return a decoded document; raise `UndecodableError` for any other data."""
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise UndecodableError("nested too deeply") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise UndecodableError(str(exc)) from exc


def decode_page(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return an object with lists of entries, with null for those nested too deeply.

    Raises
    ------
    UndecodableError
        The data are anything else.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        if len(data) > MAX_SEARCHED_BYTES:
            raise UndecodableError("nested too deeply") from exc
        return decode_document(decoder, _without_deep_entries(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise UndecodableError(str(exc)) from exc


def _without_deep_entries(data: bytes) -> bytes:
    """Return JSON with null for each entry that has more than `MAX_LEVELS` levels."""
    parts = []
    level = deepest = begin = end = 0
    for match in _TOKEN.finditer(data):
        n_levels = match.end() - match.start()
        if match["opening"]:
            if level <= ENTRY_LEVEL < level + n_levels:
                begin = match.start() + ENTRY_LEVEL - level
                deepest = 0
            level += n_levels
            deepest = max(deepest, level)
        elif match["closing"]:
            if level - n_levels <= ENTRY_LEVEL < level and deepest > MAX_LEVELS:
                parts += (data[end:begin], b"null")
                end = match.start() + level - ENTRY_LEVEL
            level -= n_levels
    return b"".join((*parts, data[end:]))
