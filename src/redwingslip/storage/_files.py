"""The few file operations that the storage needs, as an interface."""

import os
from pathlib import Path
from typing import BinaryIO, Protocol

__all__ = ["File", "FileSystem", "OsFileSystem"]


class File(Protocol):
    """An open file that is only added to."""

    def write(self, data: bytes) -> None:
        """Add data; it is durable only after `sync`."""

    def sync(self) -> None:
        """Return once everything written is durable."""

    def close(self) -> None:
        """Close the file without syncing it."""


class FileSystem(Protocol):
    """Files in folders. Every operation raises `OSError` when it fails."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they exist."""

    def exists(self, path: Path) -> bool:
        """Return whether there is a file."""

    def read(self, path: Path) -> bytes:
        """Return the whole of a file."""

    def create(self, path: Path) -> File:
        """Open an empty file in place of any old one."""

    def open(self, path: Path) -> File:
        """Open an existing file for adding to it."""

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to its first `size` bytes, durably."""

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file over another."""

    def sync_folder(self, path: Path) -> None:
        """Return once the names in a folder are durable."""


class _OsFile:
    """An unbuffered file of the operating system."""

    __slots__ = ("_raw",)

    def __init__(self, raw: BinaryIO) -> None:
        self._raw = raw

    def write(self, data: bytes) -> None:
        """Add data."""
        remaining = memoryview(data)
        while remaining:
            n_written = self._raw.write(remaining)
            remaining = remaining[n_written:]

    def sync(self) -> None:
        """Return once everything written is durable."""
        os.fdatasync(self._raw.fileno())

    def close(self) -> None:
        """Close the file."""
        self._raw.close()


class OsFileSystem:
    """The files of the operating system."""

    __slots__ = ()

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they exist."""
        path.mkdir(parents=True, exist_ok=True)

    def exists(self, path: Path) -> bool:
        """Return whether there is a file."""
        return path.exists()

    def read(self, path: Path) -> bytes:
        """Return the whole of a file."""
        return path.read_bytes()

    def create(self, path: Path) -> File:
        """Open an empty file in place of any old one."""
        return _OsFile(path.open("wb", buffering=0))

    def open(self, path: Path) -> File:
        """Open an existing file for adding to it."""
        return _OsFile(path.open("ab", buffering=0))

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to its first `size` bytes, durably."""
        with path.open("r+b", buffering=0) as raw:
            raw.truncate(size)
            os.fsync(raw.fileno())

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file over another."""
        source.replace(target)

    def sync_folder(self, path: Path) -> None:
        """Return once the names in a folder are durable."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
