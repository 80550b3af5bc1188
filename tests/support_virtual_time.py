"""An event loop whose time passes only when nothing else is left to do."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta


class _VirtualSelector(selectors.SelectSelector):
    """Skips each wait, and tells how long it would have been."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return what is ready; let the time of the wait pass otherwise."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left that could ever happen")
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs the same way each time, and as fast as the work allows."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual.now_s


class LoopClock:
    """The clock of a virtual loop, for what is tested."""

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        """Return the virtual time."""
        return timedelta(seconds=self._loop.time())

    def utcnow(self):
        """Return the virtual time of day."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()


def run_virtually(work):
    """Run a coroutine function, which gets the loop, to its end."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
