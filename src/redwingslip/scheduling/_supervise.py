"""Restart of background work that fails."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..observe import Event, EventName, EventSink

__all__ = ["run_forever"]

# Long enough that work which fails immediately uses little CPU, short compared with a
# lease.
RESTART_DELAY = timedelta(milliseconds=200)


async def run_forever(
    name: str, work: Callable[[], Awaitable[None]], events: EventSink
) -> None:
    """Run background work, and restart it after each failure.

    If the work of a leader ended unnoticed, the leader would keep its leadership
    without doing its work, and no other replica could take over.

    Parameters
    ----------
    name : str
        Name of the work, for the log.
    work : callable
        Returns the awaitable to run; it returns only when nothing is left to do.
    events : EventSink
        Receives a warning for each failure.
    """
    while True:
        try:
            return await work()
        except Exception as exc:
            detail = f"{name} failed and is restarted: {exc!r}"
            events.emit(Event(name=EventName.WARNING, detail=detail))
        await asyncio.sleep(RESTART_DELAY.total_seconds())
