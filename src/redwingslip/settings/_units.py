"""Parsing and formatting booleans, durations and sizes."""

import re
from datetime import timedelta

__all__ = [
    "format_duration",
    "format_size",
    "parse_bool",
    "parse_duration",
    "parse_size",
]

_QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s*([A-Za-z]+)", re.ASCII)

DURATION_UNITS = {
    "us": timedelta(microseconds=1),
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}

SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

_TRUE = frozenset({"yes", "true", "on"})
_FALSE = frozenset({"no", "false", "off"})


def parse_bool(text: str) -> bool:
    """Return the boolean that `text` names, in any case."""
    lower_text = text.lower()
    if lower_text in _TRUE:
        return True
    if lower_text in _FALSE:
        return False
    raise ValueError("yes or no")


def parse_duration(text: str) -> timedelta:
    """Return the duration that `text` gives as a number with a unit."""
    allowed = f"a number with one of the units {', '.join(DURATION_UNITS)}"
    number, unit = _split_quantity(text, DURATION_UNITS, allowed)
    try:
        return float(number) * DURATION_UNITS[unit]
    except OverflowError:
        raise ValueError("a shorter duration") from None


def parse_size(text: str) -> int:
    """Return the number of bytes that `text` gives as a number with a unit."""
    allowed = f"a number with one of the units {', '.join(SIZE_UNITS)}"
    number, unit = _split_quantity(text, SIZE_UNITS, allowed)
    n_bytes = float(number) * SIZE_UNITS[unit]
    if not n_bytes.is_integer():
        raise ValueError("a whole number of bytes")
    return int(n_bytes)


def _split_quantity(text: str, units: dict, allowed: str) -> tuple[str, str]:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueError(allowed)
    return match[1], match[2]


def format_duration(duration: timedelta) -> str:
    """Return a duration as a whole number of the largest possible unit."""
    for unit, size in reversed(DURATION_UNITS.items()):
        if duration and not duration % size:
            return f"{duration // size} {unit}"
    return "0 s"


def format_size(n_bytes: int) -> str:
    """Return a size as a whole number of the largest possible unit."""
    for unit, size in reversed(SIZE_UNITS.items()):
        if n_bytes and not n_bytes % size:
            return f"{n_bytes // size} {unit}"
    return "0 B"
