"""An event loop with virtual time, which passes only while nothing is ready to run."""

import asyncio
import selectors
import unittest
from datetime import UTC, datetime, timedelta


class _VirtualSelector(selectors.SelectSelector):
    """Selector that never waits, and adds each skipped wait to the virtual time."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return the ready files; if there are none, advance time by `timeout`."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: nothing is ready and no timer is set")
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; runs are reproducible and never wait."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual.now_s

    def advance(self, duration_s):
        """Let the process be busy for a duration in seconds."""
        self._virtual.now_s += duration_s


class LoopClock:
    """Clock that shows the virtual time of a loop."""

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        """Return the virtual time since the loop's creation."""
        return timedelta(seconds=self._loop.time())

    def utcnow(self):
        """Return the virtual wall-clock time in UTC, which starts at 2026-01-01."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()


def run_virtually(main):
    """Run a coroutine function, called with the loop, until it returns."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()


class VirtualLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Event loop policy whose new loops are on virtual time."""

    def new_event_loop(self):
        """Return a new loop."""
        return VirtualLoop()


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose coroutines run on virtual time.

    For tests without threads, sockets and subprocesses, as waits for one of these are
    skipped. Each test has its own loop, whose time starts at 0. A test that waits for
    something that no timer and no task can bring fails at once.
    """

    def run(self, result=None):
        """Run the test under `VirtualLoopPolicy`, and restore the policy after it."""
        # The runner of Python 3.11 accepts no loop factory; it asks the policy for a
        # loop.
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(VirtualLoopPolicy())
        try:
            return super().run(result)
        finally:
            asyncio.set_event_loop_policy(previous)
