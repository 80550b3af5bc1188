"""Checksummed records, in append-only logs and in files that are replaced whole.

A record is a header (length of the payload, CRC-32 over the length and the payload)
and the payload. Each record of a log is synced before the next one is written. An
invalid record before a valid one was therefore synced and is corrupt. An invalid record
at the end comes from a write that a crash interrupted. It was never reported as durable
and can be cut off.
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
    """An append-only file of records, each synced.

    `rewrite` creates the file atomically with at least one record. A file without a
    complete first record is therefore corrupt and not the result of a crash.

    Parameters
    ----------
    path : Path
        The file, whose folder exists.
    files : FileSystem
        The file system.

    Attributes
    ----------
    n_bytes : int
        Size of the file in bytes.
    """

    __slots__ = ("_file", "_files", "_has_failed", "_path", "n_bytes")

    def __init__(self, path: Path, files: FileSystem) -> None:
        self._path = path
        self._files = files
        self._file: File | None = None
        self._has_failed = False
        self.n_bytes = 0

    def open(self) -> list[bytes]:
        """Open the file and return its payloads, without an incomplete last record.

        The incomplete record of an interrupted write is also removed from the file.

        Raises
        ------
        CorruptLogError
            If a record that was synced can't be read.
        """
        data = self._files.read(self._path)
        payloads, end = _read_records(data)
        if not payloads:
            raise CorruptLogError(self._path, 0, "the first record is invalid")
        if end < len(data):
            _check_torn_tail(self._path, data, end)
            self._files.truncate(self._path, end)
        self.n_bytes = end
        self._file = self._files.open(self._path)
        return payloads

    def append(self, payload: bytes) -> None:
        """Append a record and return once it is durable.

        Raises
        ------
        StorageWriteError
            If the write or the sync failed. The log then accepts no more records,
            since a second sync may succeed without the bytes of the first one.
        """
        with self._guard_write():
            record = _encode_record(payload)
            self._file.write(record)
            self._file.sync()
            self.n_bytes += len(record)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace all records atomically and durably."""
        payloads = list(payloads)
        if not payloads:
            raise ValueError("a log must have at least one record")
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
        """Raise `StorageWriteError` for a failed write and for all later ones."""
        if self._has_failed:
            raise StorageWriteError(f"{self._path}: an earlier write failed")
        try:
            yield
        except OSError as exc:
            self._has_failed = True
            raise StorageWriteError(f"{self._path}: {exc}") from exc


def write_record_file(path: Path, payload: bytes, files: FileSystem) -> None:
    """Replace a file by one record, atomically and durably."""
    try:
        _write_file(path, _encode_record(payload), files)
    except OSError as exc:
        raise StorageWriteError(f"{path}: {exc}") from exc


def read_record_file(path: Path, files: FileSystem) -> bytes:
    """Return the payload of a file written by `write_record_file`."""
    data = files.read(path)
    payloads, end = _read_records(data)
    if len(payloads) != 1 or end != len(data):
        raise CorruptLogError(
            path, 0, "the file does not hold exactly one valid record"
        )
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
    """Return the payload of the valid record at an offset, None if there is none."""
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
    """Return the payloads before the first invalid record, and its offset."""
    view = memoryview(data)
    payloads = []
    offset = 0
    while (payload := _record_at(view, offset)) is not None:
        payloads.append(bytes(payload))
        offset += _HEADER.size + len(payload)
    return payloads, offset


def _check_torn_tail(path: Path, data: bytes, offset: int) -> None:
    """Raise `CorruptLogError` if a valid record follows an invalid one."""
    view = memoryview(data)
    for later_offset in range(offset + 1, len(data) - _HEADER.size + 1):
        if _record_at(view, later_offset) is not None:
            raise CorruptLogError(
                path, offset, f"a valid one follows at {later_offset}"
            )
