"""The file operations that the storage needs, and their implementation."""

import os
from pathlib import Path
from typing import BinaryIO, Protocol

__all__ = ["File", "FileSystem", "OsFileSystem"]


class File(Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append data, which is durable only after `sync`."""

    def sync(self) -> None:
        """Return once everything written is durable."""

    def close(self) -> None:
        """Close the file without a sync."""


class FileSystem(Protocol):
    """A file system. Every operation raises `OSError` on failure."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its missing parents."""

    def exists(self, path: Path) -> bool:
        """Return whether a path exists."""

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""

    def create(self, path: Path) -> File:
        """Open an empty file, replacing an existing one."""

    def open(self, path: Path) -> File:
        """Open an existing file for appending."""

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to its first `size` bytes, durably."""

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target."""

    def sync_folder(self, path: Path) -> None:
        """Return once the directory entries of a folder are durable."""


class _OsFile:
    """An unbuffered file of the operating system."""

    __slots__ = ("_raw",)

    def __init__(self, raw: BinaryIO) -> None:
        self._raw = raw

    def write(self, data: bytes) -> None:
        """Append all of the data."""
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
    """The file system of the operating system."""

    __slots__ = ()

    def make_folder(self, path: Path) -> None:
        """Create a folder and its missing parents."""
        path.mkdir(parents=True, exist_ok=True)

    def exists(self, path: Path) -> bool:
        """Return whether a path exists."""
        return path.exists()

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def create(self, path: Path) -> File:
        """Open an empty file, replacing an existing one."""
        return _OsFile(path.open("wb", buffering=0))

    def open(self, path: Path) -> File:
        """Open an existing file for appending."""
        return _OsFile(path.open("ab", buffering=0))

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to its first `size` bytes, durably."""
        with path.open("r+b", buffering=0) as raw:
            raw.truncate(size)
            os.fsync(raw.fileno())

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target."""
        source.replace(target)

    def sync_folder(self, path: Path) -> None:
        """Return once the directory entries of a folder are durable."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
