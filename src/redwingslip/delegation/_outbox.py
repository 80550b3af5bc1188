"""A batch of items that are sent together."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

__all__ = ["Outbox"]


class Outbox:
    """Collects items for a short time, and sends them together.

    Parameters
    ----------
    delay : timedelta
        Time from the first item to the sending.
    send : callable
        Called with the tuple of items.
    """

    __slots__ = ("_delay", "_items", "_send", "_timer")

    def __init__(self, delay: timedelta, send: Callable[[tuple], None]) -> None:
        self._delay = delay
        self._send = send
        self._items: list[Any] = []
        self._timer: asyncio.TimerHandle | None = None

    def add(self, item: Any) -> None:
        """Add an item."""
        self._items.append(item)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._delay.total_seconds(), self._flush)

    def close(self) -> None:
        """Discard the items that were not sent."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._items.clear()

    def _flush(self) -> None:
        self._timer = None
        items, self._items = tuple(self._items), []
        self._send(items)
