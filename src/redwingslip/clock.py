"""Clocks, passed to everything that needs to know the time.

A monotonic instant is a `datetime.timedelta` since an arbitrary origin of the
process; it is never compared between processes. A wall-clock instant is an aware
`datetime.datetime` in UTC; it labels events and never decides about a lease.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]

_MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """What the parts of this library ask of a clock."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin, never going back."""

    def utcnow(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The clock of the machine.

    Its monotonic time goes on while the machine is suspended, where the operating
    system can tell: a lease must not outlast the time that its holder slept.
    """

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the machine's monotonic time."""
        return timedelta(seconds=time.clock_gettime(_MONOTONIC_CLOCK))

    def utcnow(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when it is told to, for tests and experiments.

    Parameters
    ----------
    start : datetime
        Wall-clock time at the monotonic origin.
    """

    __slots__ = ("_elapsed", "_start")

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def utcnow(self) -> datetime:
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by `step`."""
        if step < timedelta(0):
            raise ValueError("a clock can't go back")
        self._elapsed += step
