"""Decoding of what other programs write, which may be anything."""

import asyncio
import io
import re
from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import ijson
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
    "decoded_bytes",
    "is_whole",
    "map_in_turns",
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

# Reading a document without recursion takes about a second for as many bytes.
MAX_DEEP_BYTES = 1_048_576

# An object of 3 bytes takes about 390 as a step of a job: 4 MB of them took a process
# from 78 to 584 MB. A job of the largest number of tasks, each in a step of its own
# with an object for its need, has 200,001.
MAX_OBJECTS = 200_100
MAX_LISTS = 200_100

# Measured with Python 3.11: a short text takes 50 to 60 bytes and a number 24 to 32,
# with 8 for the reference; an object 390 as a step of a job; a list 88.
VALUE_BYTES = 64
OBJECT_BYTES = 390
LIST_BYTES = 88

# Entries of a document that are converted before other work has a turn; some ms.
ENTRIES_PER_TURN = 1_000

_Entry = TypeVar("_Entry")
_Value = TypeVar("_Value")

_WHOLE = re.compile("[0-9]{1,16}")


class UndecodableError(RedwingslipError):
    """A document can't be decoded."""


def is_whole(text: str) -> bool:
    """Return whether a text is a whole number of at most 16 digits."""
    return _WHOLE.fullmatch(text) is not None


def decoded_bytes(data: bytes) -> int:
    """Return about how many bytes an encoded document takes once it is decoded.

    Separators and brackets in texts count too, which is too much by little for any
    real document.
    """
    return (
        len(data)
        + VALUE_BYTES * data.count(b",")
        + OBJECT_BYTES * data.count(b"{")
        + LIST_BYTES * data.count(b"[")
    )


def decode_document(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return a decoded document; raise `UndecodableError` for any other data.

    A document with so many objects or lists that they would take much memory is
    refused too.
    """
    # Braces in texts count too, which is too much by few for any real document.
    if data.count(b"{") > MAX_OBJECTS or data.count(b"[") > MAX_LISTS:
        raise UndecodableError("too many objects or lists")
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise UndecodableError("nested too deeply") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise UndecodableError(str(exc)) from exc


async def decode_page(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return an object with lists of entries, without those nested too deeply.

    Raises
    ------
    UndecodableError
        The data are anything else.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        if len(data) > MAX_DEEP_BYTES:
            raise UndecodableError("nested too deeply") from exc
        shallow = await asyncio.to_thread(_without_deep_values, data)
        return decode_document(decoder, shallow)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise UndecodableError(str(exc)) from exc


async def map_in_turns(
    function: Callable[[_Entry], _Value], entries: Iterable[_Entry]
) -> tuple[_Value, ...]:
    """Return the value of a function for each entry of a document.

    Other work of the event loop has a turn after each 1,000 entries.
    """
    values = []
    for number, entry in enumerate(entries, 1):
        values.append(function(entry))
        if number % ENTRIES_PER_TURN == 0:
            await asyncio.sleep(0)
    return tuple(values)


def _without_deep_values(data: bytes) -> bytes:
    """Return an encoded object without values and entries nested too deeply."""
    builder = ijson.ObjectBuilder()
    try:
        # This parser reads any depth, since it does not call itself.
        for event, value in ijson.basic_parse(io.BytesIO(data), use_float=True):
            builder.event(event, value)
    except (ijson.JSONError, ValueError) as exc:
        raise UndecodableError(str(exc)) from exc
    if not isinstance(builder.value, dict):
        raise UndecodableError("not an object")
    doc = {}
    for name, value in builder.value.items():
        if isinstance(value, list):
            doc[name] = [entry for entry in value if _is_encodable(entry)]
        elif _is_encodable(value):
            doc[name] = value
    return msgspec.json.encode(doc)


def _is_encodable(value: Any) -> bool:
    try:
        msgspec.json.encode(value)
    except (RecursionError, OverflowError, UnicodeEncodeError):
        return False
    return True
