"""The form of addresses."""

import re

__all__ = ["is_address"]

MAX_PORT = 65_535

_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._-]+):(?P<port>[0-9]{1,5})")


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port``, with a port that can be called."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 1 <= int(match["port"]) <= MAX_PORT
