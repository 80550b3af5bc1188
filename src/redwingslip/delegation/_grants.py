"""The leases that a leader has granted to its delegates."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..peers import DelegateLease, DelegateLeaseRecall, Message

__all__ = ["Grants"]


class Grants:
    """Grants leases of one term, and recalls them.

    Parameters
    ----------
    fence : int
        The leader's term.
    send : callable
        Called with a process id and a message; the message may be lost.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_clock", "_fence", "_has_returned", "_holders", "_send", "_until")

    def __init__(
        self, fence: int, send: Callable[[str, Message], None], clock: Clock
    ) -> None:
        self._fence = fence
        self._send = send
        self._clock = clock
        # Processes that may hold a lease, also those that were dropped as delegates.
        self._holders: set[str] = set()
        self._until = clock.monotonic()
        self._has_returned = asyncio.Event()

    @property
    def has_any(self) -> bool:
        """Return whether leases were granted and not returned."""
        return bool(self._holders)

    def grant(self, holder: str, number: int, duration: timedelta) -> None:
        """Grant a lease, as the answer to the request with a number."""
        self._until = max(self._until, self._clock.monotonic() + duration)
        self._holders.add(holder)
        lease = DelegateLease(number=number, fence=self._fence, duration=duration)
        self._send(holder, lease)

    def note_return(self, holder: str) -> None:
        """Note that a lease was returned."""
        self._holders.discard(holder)
        self._has_returned.set()

    async def recall(self) -> None:
        """Recall all leases, and wait until each is returned or has ended."""
        for holder in self._holders:
            self._send(holder, DelegateLeaseRecall(fence=self._fence))
        remaining = self._until - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                while self._holders:
                    self._has_returned.clear()
                    await self._has_returned.wait()
        except TimeoutError:
            return
