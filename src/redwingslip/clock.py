"""Clocks, passed as a parameter to everything that reads the time.

A monotonic time is a `datetime.timedelta` since an arbitrary origin of the process;
monotonic times of different processes are never compared. A wall-clock time is an
aware `datetime.datetime` in UTC; it labels events and never decides about a lease.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]

_MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """The interface of a clock."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""

    def utcnow(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The clock of the machine.

    Its monotonic time includes the time for which the machine was suspended, if the
    operating system offers such a clock. Otherwise a lease would not expire while its
    holder is suspended.
    """

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the machine's monotonic time."""
        return timedelta(seconds=time.clock_gettime(_MONOTONIC_CLOCK))

    def utcnow(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that only `advance` moves, for tests and experiments.

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
        """Return the total time advanced."""
        return self._elapsed

    def utcnow(self) -> datetime:
        """Return the start time plus the total time advanced."""
        return self._start + self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by `step`."""
        if step < timedelta(0):
            raise ValueError("step must not be negative")
        self._elapsed += step
