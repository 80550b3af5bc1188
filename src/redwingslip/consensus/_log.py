"""The log in memory, and which part of it is on disk."""

from collections.abc import Iterable

from ._messages import LogEntry
from ._records import LogStart

__all__ = ["Log"]


class Log:
    """The consecutive log entries after the last compacted one.

    Parameters
    ----------
    start : LogStart
        Index and term of the entry before the first kept one.
    entries : iterable of LogEntry
        Entries that are already on disk.

    Attributes
    ----------
    stable_index : int
        All entries up to this index are on disk.
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
        """Return whether there are changes that no save has taken yet."""
        return self._truncate_from > 0 or self._unsaved_from <= self.last_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not hold the entry."""
        if index == self.start.index:
            return self.start.term
        position = index - self.start.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index that the log holds."""
        return self._entries[index - self.start.index - 1]

    def entries_between(self, first: int, last: int) -> list[LogEntry]:
        """Return the held entries from `first` to `last`, both included."""
        begin = max(0, first - self.start.index - 1)
        return self._entries[begin : max(0, last - self.start.index)]

    def start_within(self, first: int, last: int, *, max_bytes: int) -> int:
        """Return from which index on the entries up to `last` have at most some bytes.

        Parameters
        ----------
        first : int
            The earliest index to return; that of the entry before the first one held,
            or a later one.
        last : int
            Index of a held entry.
        max_bytes : int
            Limit of the bytes of the entries after the returned index.
        """
        n_bytes = 0
        for index in range(last, first, -1):
            n_bytes += len(self.entry_at(index).data)
            if n_bytes > max_bytes:
                return index
        return first

    def append(self, entry: LogEntry) -> None:
        """Append the next entry."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self._entries[index - self.start.index - 1 :]
        self.stable_index = min(self.stable_index, index - 1)
        self._saving_index = min(self._saving_index, index - 1)
        if index < self._unsaved_from:
            self._unsaved_from = index
            self._truncate_from = min(self._truncate_from or index, index)

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which becomes the new start."""
        term = self.term_at(index)
        del self._entries[: index - self.start.index]
        self.start = LogStart(index=index, term=term)

    def reset(self, start: LogStart) -> None:
        """Remove all entries; `take_all` then gives the disk the new start."""
        self.start = start
        self._entries.clear()
        self.stable_index = min(self.stable_index, start.index - 1)
        self._saving_index = min(self._saving_index, start.index - 1)
        self._truncate_from = 0
        self._unsaved_from = start.index + 1

    def take_unsaved(
        self, max_entries: int | None = None
    ) -> tuple[int, list[LogEntry]]:
        """Return the changes for the next save.

        Parameters
        ----------
        max_entries : int or None
            Bound of the number of entries, None for no bound.

        Returns
        -------
        tuple of int and list of LogEntry
            The index from which the stored log must be truncated, 0 for no truncation,
            and the entries to append.
        """
        last = self.last_index
        if max_entries is not None:
            last = min(last, self._unsaved_from + max_entries - 1)
        entries = self.entries_between(self._unsaved_from, last)
        truncate_from = self._truncate_from
        self._mark_taken(last)
        return truncate_from, entries

    def take_all(self) -> list[LogEntry]:
        """Return all held entries, for a save that rewrites the stored log."""
        self._mark_taken(self.last_index)
        return list(self._entries)

    def mark_saved(self) -> None:
        """Record that the entries taken last are on disk."""
        self.stable_index = max(self.stable_index, self._saving_index)

    def _mark_taken(self, last: int) -> None:
        self._truncate_from = 0
        self._saving_index = last
        self._unsaved_from = last + 1
