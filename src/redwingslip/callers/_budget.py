"""The limit on the memory that request bodies use."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

from .exceptions import NotRunError

__all__ = ["ByteBudget"]

RETRY_AFTER = timedelta(seconds=1)


class ByteBudget:
    """Limits the total size of the request bodies in memory.

    Parameters
    ----------
    max_bytes : int
        Limit of the bytes that are reserved at the same time.
    """

    __slots__ = ("_max_bytes", "n_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.n_bytes = 0

    @contextlib.contextmanager
    def reserve(self, n_bytes: int) -> Iterator[None]:
        """Return a context that reserves bytes until it exits.

        Raises
        ------
        NotRunError
            Fewer than `n_bytes` bytes are free.
        """
        if self.n_bytes + n_bytes > self._max_bytes:
            text = "request bodies use all the memory set aside for them; retry later"
            raise NotRunError(text, retry_after=RETRY_AFTER)
        self.n_bytes += n_bytes
        try:
            yield
        finally:
            self.n_bytes -= n_bytes
