"""Converting the text of an option to a value of its type, and back."""

import enum
import math
import socket
import types
import typing
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ._units import (
    format_duration,
    format_size,
    parse_bool,
    parse_duration,
    parse_size,
)

__all__ = ["Address", "Sha256", "Name", "format_value", "parse_value"]

MAX_PORT = 65_535


class _AddressRule:
    """A constraint on a string: an IP address and a port."""

    __slots__ = ()

    def check(self, text: str) -> None:
        """Raise a ValueError, which says what is allowed, if `text` is no address."""
        host, _, port = text.rpartition(":")
        family = socket.AF_INET
        if host.startswith("[") and host.endswith("]"):
            family = socket.AF_INET6
            host = host[1:-1]
        elif ":" in host:
            raise ValueError("an IPv6 address must be in brackets, as in [::1]:7000")
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            raise ValueError("an IP address and a port, as in 10.0.0.1:7000") from None
        if not (port.isascii() and port.isdigit()) or int(port[:6]) > MAX_PORT:
            raise ValueError(f"a port from 0 to {MAX_PORT}")


Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$", max_length=63)
]
Sha256 = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[0-9a-f]{64}$", description="a SHA-256 in 64 lower-case hex digits"
    ),
]
Address = Annotated[str, _AddressRule()]


def parse_value(text: str, type_: Any, *, option: str = "") -> Any:
    """Convert text to a value of a type and check the type's constraints.

    Parameters
    ----------
    text : str
        The text of the option.
    type_ : type
        The type, which may be annotated with constraints.
    option : str
        Name of the option; an int whose name ends in ``_bytes`` is written as a size
        with a unit.

    Raises
    ------
    ValueError
        The message says what is allowed.
    """
    value = _parse_unchecked(text, type_, option)
    try:
        return msgspec.convert(value, type_, strict=True)
    except msgspec.ValidationError as exc:
        description = _type_description(type_)
        raise ValueError(description or _format_validation_error(str(exc))) from None


def _parse_unchecked(text: str, type_: Any, option: str) -> Any:
    origin = typing.get_origin(type_)
    if origin is Annotated:
        return _parse_annotated(text, type_, option)
    if origin in (types.UnionType, typing.Union):
        return _parse_optional(text, type_, option)
    if origin is tuple:
        return _parse_tuple(text, typing.get_args(type_)[0], option)
    if type_ is int and option.endswith("_bytes"):
        return parse_size(text)
    if isinstance(type_, type) and issubclass(type_, enum.Enum):
        return _parse_enum(text, type_)
    return _PARSERS[type_](text)


def _parse_annotated(text: str, type_: Any, option: str) -> Any:
    value = _parse_unchecked(text, typing.get_args(type_)[0], option)
    for rule in type_.__metadata__:
        if isinstance(rule, _AddressRule):
            rule.check(value)
    return value


def _parse_optional(text: str, type_: Any, option: str) -> Any:
    if text.lower() == "none":
        return None
    inner = next(arg for arg in typing.get_args(type_) if arg is not type(None))
    return parse_value(text, inner, option=option)


def _parse_tuple(text: str, item_type: Any, option: str) -> tuple:
    items = [item.strip() for item in text.replace("\n", ",").split(",")]
    return tuple(parse_value(item, item_type, option=option) for item in items if item)


def _parse_enum(text: str, type_: type[enum.Enum]) -> enum.Enum:
    try:
        return type_(text)
    except ValueError:
        values = ", ".join(str(member.value) for member in type_)
        raise ValueError(f"one of {values}") from None


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError("a whole number") from None


def _parse_float(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError("a number") from None
    if not math.isfinite(value):
        raise ValueError("a finite number")
    return value


def _parse_str(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_path(text: str) -> Path:
    if not text or "\0" in text:
        raise ValueError("the path of a file or folder")
    return Path(text)


_PARSERS: dict[type, Callable[[str], Any]] = {
    bool: parse_bool,
    float: _parse_float,
    int: _parse_int,
    Path: _parse_path,
    str: _parse_str,
    timedelta: parse_duration,
}


def _type_description(type_: Any) -> str:
    for rule in getattr(type_, "__metadata__", ()):
        if isinstance(rule, msgspec.Meta) and rule.description:
            return rule.description
    return ""


def _format_validation_error(message: str) -> str:
    return message.replace("Expected `", "expected `").split(" - at ")[0]


def format_value(value: Any, *, option: str = "") -> str:
    """Return a value in the form that settings files use."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, timedelta):
        return format_duration(value)
    if isinstance(value, int) and option.endswith("_bytes"):
        return format_size(value)
    if isinstance(value, tuple | list):
        return ", ".join(format_value(item, option=option) for item in value)
    return str(value)
