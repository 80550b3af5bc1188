"""The transfer of the leadership by a replica that stops."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

__all__ = ["LeadershipTransfer"]


class LeadershipTransfer:
    """Transfers the leadership in bounded time.

    A leadership may end and the next one be won between two steps of the replica, so
    that neither is reported. The end of a transfer is therefore taken from the node,
    and a leadership that is won in the meantime is transferred too.

    Parameters
    ----------
    begin : callable
        Begins a transfer; returns False if the replica can't transfer a leadership.
    timeout : timedelta
        Longest duration, including further transfers.
    """

    __slots__ = ("_begin", "_ended", "_timeout")

    def __init__(self, begin: Callable[[], bool], timeout: timedelta) -> None:
        self._begin = begin
        self._timeout = timeout
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Return once no leadership is left to transfer, or after the timeout."""
        try:
            async with asyncio.timeout(self._timeout.total_seconds()):
                while self._begin():
                    self._ended.clear()
                    await self._ended.wait()
        except TimeoutError:
            pass

    def note_end(self) -> None:
        """Record that no transfer is in progress."""
        self._ended.set()
