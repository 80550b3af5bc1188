"""The memory that request bodies may take."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

from .exceptions import NotRunError

__all__ = ["ByteBudget"]

RETRY_AFTER = timedelta(seconds=1)


class ByteBudget:
    """Counts the bytes of the bodies that are held.

    Parameters
    ----------
    max_bytes : int
        How many may be held at once.
    """

    __slots__ = ("_max_bytes", "n_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.n_bytes = 0

    @contextlib.contextmanager
    def reserve(self, n_bytes: int) -> Iterator[None]:
        """Hold bytes for a while.

        Raises
        ------
        NotRunError
            So many are not free.
        """
        if self.n_bytes + n_bytes > self._max_bytes:
            text = "too many bytes of requests are under way; send it again later"
            raise NotRunError(text, retry_after=RETRY_AFTER)
        self.n_bytes += n_bytes
        try:
            yield
        finally:
            self.n_bytes -= n_bytes
