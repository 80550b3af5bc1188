"""Numbers that match answers to requests."""

import secrets

__all__ = ["RequestNumbers"]

# Leaves room to count up in a signed 64-bit integer.
FIRST_NUMBER_BITS = 62


class RequestNumbers:
    """Numbers for requests that no other process uses.

    Links deliver by address, so an answer to a request of an earlier process may reach
    the one that has replaced it. Numbers therefore start at a random value.
    """

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = secrets.randbits(FIRST_NUMBER_BITS)

    def next(self) -> int:
        """Return a new number; it is positive."""
        self._last += 1
        return self._last
