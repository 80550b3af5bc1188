"""Reading request bodies within limits, and decoding them strictly."""

import asyncio
import difflib
import functools
import re

import msgspec
from starlette.requests import ClientDisconnect, Request

from ._limits import HttpLimits
from .exceptions import BodyTooLargeError, HttpError

__all__ = [
    "FieldError",
    "decode_json",
    "expected_body_bytes",
    "read_body",
    "strict_convert",
]

_PATH = re.compile(r" - at `\$?\.?(?P<path>[^`]*)`$")


class FieldError(HttpError):
    """A body does not fit; `field` names the part at fault."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(detail)
        self.field = field
        self.detail = detail


def expected_body_bytes(req: Request, cfg: HttpLimits) -> int:
    """Return how long the body of a request can become."""
    declared = req.headers.get("content-length")
    if declared is None:
        return cfg.max_body_bytes if "transfer-encoding" in req.headers else 0
    return min(int(declared), cfg.max_body_bytes)


async def read_body(req: Request, cfg: HttpLimits) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BodyTooLargeError
        It is longer than `cfg` allows.
    FieldError
        It did not arrive in time or in full.
    """
    declared = req.headers.get("content-length", "0")
    if declared.isdecimal() and int(declared) > cfg.max_body_bytes:
        raise BodyTooLargeError(f"at most {cfg.max_body_bytes} bytes are accepted")
    parts = []
    n_bytes = 0
    try:
        async with asyncio.timeout(cfg.body_timeout.total_seconds()):
            async for part in req.stream():
                n_bytes += len(part)
                if n_bytes > cfg.max_body_bytes:
                    raise BodyTooLargeError(
                        f"at most {cfg.max_body_bytes} bytes are accepted"
                    )
                parts.append(part)
    except TimeoutError as exc:
        raise FieldError("body", "the body did not arrive in time") from exc
    except ClientDisconnect as exc:
        raise FieldError("body", "the body did not arrive in full") from exc
    return b"".join(parts)


def decode_json(body: bytes) -> object:
    """Return the JSON value in a body; raise `FieldError` if there is none."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise FieldError("body", f"not JSON: {exc}") from exc


def strict_convert(value: object, kind: type, *, field: str = ""):
    """Turn a decoded JSON object into a struct that allows no unknown fields.

    Parameters
    ----------
    value : object
        The decoded JSON value.
    kind : type
        The struct's type.
    field : str
        Name of `value` within the body; prefixes the field named by an error.
    """
    if not isinstance(value, dict):
        raise FieldError(field or "body", "must be a JSON object")
    known = _field_names(kind)
    tag = kind.__struct_config__.tag_field
    for name in value:
        if name not in known and name != tag:
            raise FieldError(_join(field, name), _unknown(name, known))
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        raise _field_error(exc, field) from exc


@functools.cache
def _field_names(kind: type) -> tuple[str, ...]:
    """Return the names that a struct's fields have in JSON."""
    # Evaluating the type hints anew would cost each announcement 60 µs.
    return tuple(item.encode_name for item in msgspec.structs.fields(kind))


def _unknown(name: str, known: tuple[str, ...]) -> str:
    near = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"there is no field {name!r}{hint}"


def _field_error(exc: msgspec.ValidationError, field: str) -> FieldError:
    text = str(exc)
    found = _PATH.search(text)
    if found is None:
        return FieldError(field or "body", text)
    return FieldError(_join(field, found["path"]), text[: found.start()])


def _join(field: str, name: str) -> str:
    return f"{field}.{name}" if field and name else field or name
