"""The latest changes of a view, for those who follow it."""

from bisect import bisect_right
from collections import deque

from ..fleet import Change

__all__ = ["ChangeLog"]


class ChangeLog:
    """Keeps the last changes in the order of the log.

    Parameters
    ----------
    max_changes : int
        How many changes are kept.
    """

    __slots__ = ("_changes", "_max_changes", "_start")

    def __init__(self, max_changes: int = 5_000) -> None:
        self._max_changes = max_changes
        self._changes: deque[Change] = deque()
        self._start = 0

    def restart(self, index: int) -> None:
        """Forget everything up to `index`, after a whole view was taken over."""
        self._changes.clear()
        self._start = index

    def add(self, changes: tuple[Change, ...]) -> None:
        """Add changes that are newer than all before."""
        self._changes.extend(changes)
        while len(self._changes) > self._max_changes:
            self._start = self._changes.popleft().index

    def after(self, index: int) -> tuple[Change, ...] | None:
        """Return the changes after a log index, None when they are not kept."""
        if index < self._start:
            return None
        if not self._changes or self._changes[-1].index <= index:
            return ()
        first = bisect_right(self._changes, index, key=lambda change: change.index)
        return tuple(self._changes[i] for i in range(first, len(self._changes)))
