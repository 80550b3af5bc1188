"""The latest changes of a view, kept for processes that replicate the view."""

from bisect import bisect_right
from collections import deque

from ..fleet import Change

__all__ = ["ChangeLog"]


class ChangeLog:
    """Keeps the latest changes in the order of the log.

    Parameters
    ----------
    max_changes : int
        Maximum number of changes that are kept.
    """

    __slots__ = ("_changes", "_max_changes", "_start_index")

    def __init__(self, max_changes: int = 5_000) -> None:
        self._max_changes = max_changes
        self._changes: deque[Change] = deque()
        self._start_index = 0

    def restart(self, index: int) -> None:
        """Drop all changes after the view was replaced by a snapshot at `index`."""
        self._changes.clear()
        self._start_index = index

    def add(self, changes: tuple[Change, ...]) -> None:
        """Append changes that are newer than all previous ones."""
        self._changes.extend(changes)
        while len(self._changes) > self._max_changes:
            self._start_index = self._changes.popleft().index

    def after(self, index: int) -> tuple[Change, ...] | None:
        """Return the changes after a log index, or None if they are no longer kept."""
        if index < self._start_index:
            return None
        if not self._changes or self._changes[-1].index <= index:
            return ()
        first = bisect_right(self._changes, index, key=lambda change: change.index)
        return tuple(self._changes[i] for i in range(first, len(self._changes)))
