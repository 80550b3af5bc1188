"""The log in memory, and how much of it is on disk."""

from collections.abc import Iterable

from ._messages import LogEntry
from ._records import LogStart

__all__ = ["Log"]


class Log:
    """Consecutive entries after a start that was compacted away.

    Parameters
    ----------
    start : LogStart
        The entry before the first one.
    entries : iterable of LogEntry
        Entries that are on disk already.

    Attributes
    ----------
    stable_index : int
        Everything up to it is on disk.
    """

    __slots__ = (
        "_entries",
        "_saving_index",
        "_truncate_from",
        "_unsaved_from",
        "stable_index",
        "start",
    )

    def __init__(self, start: LogStart, entries: Iterable[LogEntry] = ()) -> None:
        self.start = start
        self._entries = list(entries)
        self._truncate_from = 0
        self.stable_index = self.last_index
        self._saving_index = self.last_index
        self._unsaved_from = self.last_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.start.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.start.term

    @property
    def has_unsaved(self) -> bool:
        """Return whether anything is still to be handed to the disk."""
        return self._truncate_from > 0 or self._unsaved_from <= self.last_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when it is not known."""
        if index == self.start.index:
            return self.start.term
        position = index - self.start.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Return a kept entry."""
        return self._entries[index - self.start.index - 1]

    def entries_between(self, first: int, last: int) -> list[LogEntry]:
        """Return the kept entries from `first` to `last`, both included."""
        begin = max(0, first - self.start.index - 1)
        return self._entries[begin : max(0, last - self.start.index)]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self.start.index - 1 :]
        self.stable_index = min(self.stable_index, index - 1)
        self._saving_index = min(self._saving_index, index - 1)
        if index < self._unsaved_from:
            self._unsaved_from = index
            self._truncate_from = min(self._truncate_from or index, index)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which become the start."""
        term = self.term_at(index)
        del self._entries[: index - self.start.index]
        self.start = LogStart(index=index, term=term)

    def reset(self, start: LogStart) -> None:
        """Drop everything; the disk gets it by `take_all`."""
        self.start = start
        self._entries.clear()
        self.stable_index = min(self.stable_index, start.index - 1)
        self._saving_index = min(self._saving_index, start.index - 1)
        self._truncate_from = 0
        self._unsaved_from = start.index + 1

    def take_unsaved(
        self, max_entries: int | None = None
    ) -> tuple[int, list[LogEntry]]:
        """Return from where the disk is to truncate (0 for not) and what to add."""
        last = self.last_index
        if max_entries is not None:
            last = min(last, self._unsaved_from + max_entries - 1)
        entries = self.entries_between(self._unsaved_from, last)
        truncate_from = self._truncate_from
        self._mark_taken(last)
        return truncate_from, entries

    def take_all(self) -> list[LogEntry]:
        """Return every kept entry, for rewriting the disk's log."""
        self._mark_taken(self.last_index)
        return list(self._entries)

    def mark_saved(self) -> None:
        """Note that what was taken last is on disk."""
        self.stable_index = max(self.stable_index, self._saving_index)

    def _mark_taken(self, last: int) -> None:
        self._truncate_from = 0
        self._saving_index = last
        self._unsaved_from = last + 1
