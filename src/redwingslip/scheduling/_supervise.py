"""Keeping endless work alive."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..observe import Event, EventName, EventSink

__all__ = ["run_forever"]

# Long enough that work which fails at once costs little, short against a lease.
RESTART_DELAY = timedelta(milliseconds=200)


async def run_forever(
    name: str, work: Callable[[], Awaitable[None]], events: EventSink
) -> None:
    """Run endless work, and begin it anew when it fails.

    A leader whose work has ended unnoticed would keep others from leading.

    Parameters
    ----------
    name : str
        What the work is, for the log.
    work : callable
        Returns the work; it returns only when there is nothing left to do.
    events : EventSink
        Takes a warning for each failure.
    """
    while True:
        try:
            return await work()
        except Exception as exc:
            detail = f"{name} failed and begins anew: {exc!r}"
            events.emit(Event(name=EventName.WARNING, detail=detail))
        await asyncio.sleep(RESTART_DELAY.total_seconds())
