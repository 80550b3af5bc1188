"""An in-memory file system that loses unsynced data in a simulated crash."""

import random


class CrashError(BaseException):
    """The simulated process crashed during a file operation."""


class _FileContent:
    """The content of a file, as written and as synced."""

    __slots__ = ("data", "synced")

    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = bytes(data)


class _MemoryFile:
    """An open file."""

    def __init__(self, files, content):
        self._files = files
        self._content = content

    def write(self, data):
        """Append data, or only half of it if this operation fails."""
        try:
            self._files.count_operation()
        except (CrashError, OSError):
            self._content.data += data[: len(data) // 2]
            raise
        self._content.data += data

    def sync(self):
        """Make the content durable."""
        self._files.count_operation()
        self._content.synced = bytes(self._content.data)

    def close(self):
        """Do nothing."""


class MemoryFiles:
    """A file system in memory, with injected failures and crashes.

    Attributes
    ----------
    steps_left : int or None
        Number of operations that succeed before `error` is raised, None for no limit.
    error : BaseException
        The exception that the next operation raises.
    """

    def __init__(self):
        self._names = {}
        self._durable_names = {}
        self.steps_left = None
        self.error = CrashError()

    def count_operation(self):
        """Count an operation, and raise `error` when none is left."""
        if self.steps_left is None:
            return
        if self.steps_left == 0:
            raise self.error
        self.steps_left -= 1

    def crash(self, rng=None):
        """Lose unsynced data; with `rng`, a random part of it survives."""
        self.steps_left = None
        if rng is None or rng.random() < 0.5:
            self._names = dict(self._durable_names)
        self._durable_names = dict(self._names)
        for content in self._names.values():
            kept = bytearray(content.synced)
            if rng is not None:
                unsynced = content.data[len(kept) :]
                kept += unsynced[: rng.randint(0, len(unsynced))]
            content.data = kept
            content.synced = bytes(kept)

    def make_folder(self, path):
        """Do nothing."""

    def exists(self, path):
        """Return whether a file exists."""
        return path in self._names

    def read(self, path):
        """Return a file's content."""
        return bytes(self._names[path].data)

    def overwrite(self, path, data):
        """Replace a file's durable content, to simulate corruption."""
        self._names[path] = self._durable_names[path] = _FileContent(data)

    def create(self, path):
        """Open an empty file, replacing an existing one."""
        self.count_operation()
        self._names[path] = _FileContent()
        return _MemoryFile(self, self._names[path])

    def open(self, path):
        """Open a file for appending."""
        return _MemoryFile(self, self._names[path])

    def truncate(self, path, size):
        """Truncate a file durably."""
        self.count_operation()
        content = self._names[path]
        del content.data[size:]
        content.synced = bytes(content.data)

    def replace(self, source, target):
        """Rename a file."""
        self.count_operation()
        self._names[target] = self._names.pop(source)

    def sync_folder(self, path):
        """Make the directory entries durable."""
        self.count_operation()
        self._durable_names = dict(self._names)


def new_rng(seed):
    """Return a random source with a seed."""
    return random.Random(seed)
