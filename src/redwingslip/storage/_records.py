"""Checksummed records, in a log that grows and in files that are replaced whole.

A record is a header (length of the payload, CRC-32 over the length and the payload)
and the payload. Each record of a log is synced before the next one is written. So a
bad record with a good one after it was synced once and is corrupt, while a bad one at
the end is a write that a crash interrupted, and nobody was told that it is durable.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from ._files import File, FileSystem
from .exceptions import CorruptLogError, StorageWriteError

__all__ = ["RecordLog", "read_record_file", "write_record_file"]

_LENGTH = struct.Struct("<I")
_HEADER = struct.Struct("<II")


class RecordLog:
    """A file of records to which records are added, each synced.

    `rewrite` makes it, with at least one record, and at once. So a file without a
    whole first record is corrupt, and not one that a crash interrupted.

    Parameters
    ----------
    path : Path
        The file; its folder exists.
    files : FileSystem
        Where it lives.
    """

    __slots__ = ("_file", "_files", "_has_failed", "_path", "n_bytes")

    def __init__(self, path: Path, files: FileSystem) -> None:
        self._path = path
        self._files = files
        self._file: File | None = None
        self._has_failed = False
        self.n_bytes = 0

    def open(self) -> list[bytes]:
        """Return the payloads, after cutting off a record that a crash interrupted.

        Raises
        ------
        CorruptLogError
            If a record that was synced can't be read.
        """
        data = self._files.read(self._path)
        payloads, end = _read_records(data)
        if not payloads:
            raise CorruptLogError(self._path, 0, "the first record is bad")
        if end < len(data):
            _check_torn_tail(self._path, data, end)
            self._files.truncate(self._path, end)
        self.n_bytes = end
        self._file = self._files.open(self._path)
        return payloads

    def append(self, payload: bytes) -> None:
        """Add a record and return once it is durable.

        Raises
        ------
        StorageFailedError
            If the write or the sync failed. The log takes no more records then,
            since a second sync may succeed without the bytes of the first.
        """
        with self._guard_write():
            record = _encode_record(payload)
            self._file.write(record)
            self._file.sync()
            self.n_bytes += len(record)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace all records at once, durably."""
        payloads = list(payloads)
        if not payloads:
            raise ValueError("a log has at least one record")
        data = b"".join(_encode_record(payload) for payload in payloads)
        with self._guard_write():
            _write_file(self._path, data, self._files)
            if self._file is not None:
                self._file.close()
            self._file = self._files.open(self._path)
            self.n_bytes = len(data)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    @contextmanager
    def _guard_write(self) -> Iterator[None]:
        """Turn a failed operation into the log's own lasting failure."""
        if self._has_failed:
            raise StorageWriteError(f"{self._path}: an earlier write failed")
        try:
            yield
        except OSError as exc:
            self._has_failed = True
            raise StorageWriteError(f"{self._path}: {exc}") from exc


def write_record_file(path: Path, payload: bytes, files: FileSystem) -> None:
    """Replace a file by one record, durably and at once."""
    try:
        _write_file(path, _encode_record(payload), files)
    except OSError as exc:
        raise StorageWriteError(f"{path}: {exc}") from exc


def read_record_file(path: Path, files: FileSystem) -> bytes:
    """Return the payload of a file that `write_record_file` wrote."""
    data = files.read(path)
    payloads, end = _read_records(data)
    if len(payloads) != 1 or end != len(data):
        raise CorruptLogError(path, 0, "not exactly one whole record")
    return payloads[0]


def _write_file(path: Path, data: bytes, files: FileSystem) -> None:
    temporary = path.with_name(path.name + ".tmp")
    file = files.create(temporary)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    files.replace(temporary, path)
    files.sync_folder(path.parent)


def _checksum(length: bytes, payload: bytes | memoryview) -> int:
    return zlib.crc32(payload, zlib.crc32(length))


def _encode_record(payload: bytes) -> bytes:
    length = _LENGTH.pack(len(payload))
    return length + _LENGTH.pack(_checksum(length, payload)) + payload


def _record_at(data: memoryview, offset: int) -> memoryview | None:
    """Return the payload of the good record at an offset, or None."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, crc = _HEADER.unpack_from(data, offset)
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if _checksum(bytes(data[offset : offset + _LENGTH.size]), payload) != crc:
        return None
    return payload


def _read_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the payloads up to the first bad record, and its offset."""
    view = memoryview(data)
    payloads = []
    offset = 0
    while (payload := _record_at(view, offset)) is not None:
        payloads.append(bytes(payload))
        offset += _HEADER.size + len(payload)
    return payloads, offset


def _check_torn_tail(path: Path, data: bytes, offset: int) -> None:
    """Raise unless nothing good follows the bad record at an offset."""
    view = memoryview(data)
    for later_offset in range(offset + 1, len(data) - _HEADER.size + 1):
        if _record_at(view, later_offset) is not None:
            raise CorruptLogError(path, offset, f"a good one follows at {later_offset}")
