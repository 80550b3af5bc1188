"""Follows the replicated state on an entry, and waits for its changes."""

import asyncio
import contextlib
from datetime import timedelta

from ..clock import Clock
from ..fleet import Change
from ..leases import ChangeLog, LeaseHolder
from ..peers import LeaseGrant, LeaseRenewal

__all__ = ["ViewFollower"]


class ViewFollower:
    """Keeps the latest changes of the view and wakes the tasks that wait for them.

    Parameters
    ----------
    holder : LeaseHolder
        Applies the grants to the view.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_changed", "_changes", "_clock", "_holder")

    def __init__(self, holder: LeaseHolder, clock: Clock) -> None:
        self._holder = holder
        self._clock = clock
        self._changes = ChangeLog()
        self._changed = asyncio.Event()

    @property
    def lease_ends_at(self) -> timedelta:
        """Return the monotonic time at which the lease ends."""
        return self._holder.ends_at

    @property
    def in_force_index(self) -> int:
        """Return the index that the leader last reported as in force everywhere."""
        return self._holder.in_force_index

    def has_lease(self) -> bool:
        """Return whether the lease is valid."""
        return self._holder.is_valid(self._clock.monotonic())

    def next_renewal(
        self, *, stopping: bool = False, leaving: bool = False
    ) -> LeaseRenewal:
        """Return the next renewal, to be sent immediately."""
        return self._holder.next_renewal(
            self._clock.monotonic(), stopping=stopping, leaving=leaving
        )

    def apply_grant(self, msg: LeaseGrant) -> tuple[bool, tuple[Change, ...] | None]:
        """Apply a grant to the lease and the view.

        Returns
        -------
        is_new : bool
            Whether the log index of the view has advanced.
        changes : tuple of Change, or None
            The new changes; None if the whole view was replaced.
        """
        view = self._holder.view
        index = view.index
        changes = self._holder.apply_grant(msg)
        if view.index == index:
            return False, changes
        if changes is None:
            self._changes.restart(view.index)
        else:
            self._changes.add(changes)
        self._changed.set()
        self._changed = asyncio.Event()
        return True, changes

    async def wait_for_index(self, index: int, timeout: timedelta) -> None:
        """Wait until the view has reached a log index, for `timeout` at most."""
        until = self._clock.monotonic() + timeout
        while self._holder.view.index < index and self._clock.monotonic() < until:
            await self._wait_for_change(until)

    async def changes_after(
        self, index: int, timeout: timedelta
    ) -> tuple[Change, ...] | None:
        """Wait for the changes after a log index; see `FleetService`."""
        until = self._clock.monotonic() + timeout
        while True:
            changes = self._changes.after(index)
            if changes is None or changes or self._clock.monotonic() >= until:
                return changes
            await self._wait_for_change(until)

    async def _wait_for_change(self, until: timedelta) -> None:
        remaining = until - self._clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                await self._changed.wait()
