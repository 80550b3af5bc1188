"""Errors of the storage layer."""

from pathlib import Path

from ..exceptions import RedwingslipError

__all__ = ["CorruptLogError", "StorageError", "StorageWriteError"]


class StorageError(RedwingslipError):
    """Base of the storage errors."""


class CorruptLogError(StorageError):
    """A record that was synced can't be read back.

    Parameters
    ----------
    path : Path
        The file.
    offset : int
        Offset of the corrupt record in the file, in bytes.
    detail : str
        Description of the fault.
    """

    def __init__(self, path: Path, offset: int, detail: str) -> None:
        super().__init__(f"{path}: corrupt record at offset {offset}: {detail}")
        self.path = path
        self.offset = offset


class StorageWriteError(StorageError):
    """A write or a sync failed, so the data may or may not be on disk."""
