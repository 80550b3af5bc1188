"""The limit on the bytes that are on their way to the leader."""

import asyncio
from collections import deque

__all__ = ["InFlight"]

# Ordinary calls have a few kB and must not wait behind large ones.
SMALL_BYTES = 64 << 10


class InFlight:
    """Limits the bytes of the bodies on their way; further ones wait in order.

    Small bodies are sent at once; the memory for bodies bounds them. A single large one
    is always sent.

    Parameters
    ----------
    max_bytes : int
        Limit of the bytes on their way.

    Attributes
    ----------
    n_bytes : int
        Bytes on their way.
    """

    __slots__ = ("_max_bytes", "_waiting", "n_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.n_bytes = 0

    async def enter(self, n_bytes: int, timeout_s: float) -> bool:
        """Wait for room, and return whether there was any within `timeout_s`.

        The caller has to `leave` afterwards if there was.
        """
        if n_bytes <= SMALL_BYTES or (not self._waiting and self._fits(n_bytes)):
            self.n_bytes += n_bytes
            return True
        fut = asyncio.get_running_loop().create_future()
        entry = (n_bytes, fut)
        self._waiting.append(entry)
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self._withdraw(entry)
            return False
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        return True

    def leave(self, n_bytes: int) -> None:
        """Free the room of a body that has arrived or was given up."""
        self.n_bytes -= n_bytes
        self._admit()

    def _withdraw(self, entry: tuple[int, asyncio.Future[None]]) -> None:
        n_bytes, fut = entry
        if fut.done() and not fut.cancelled():
            # It was admitted in the moment in which it was given up.
            self.leave(n_bytes)
        else:
            # `_admit` may have left it out since its future was cancelled.
            if entry in self._waiting:
                self._waiting.remove(entry)
            self._admit()

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0][0]):
            n_bytes, fut = self._waiting.popleft()
            if fut.cancelled():
                # It was given up, and its task has not run since.
                continue
            self.n_bytes += n_bytes
            fut.set_result(None)

    def _fits(self, n_bytes: int) -> bool:
        return not self.n_bytes or self.n_bytes + n_bytes <= self._max_bytes
