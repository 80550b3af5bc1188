"""Storage: checksummed records in files that are synced before they count."""

from ._files import File, FileSystem, OsFileSystem
from ._records import RecordLog, read_sealed, write_sealed
from .exceptions import CorruptLogError, StorageError, StorageFailedError

__all__ = [
    "CorruptLogError",
    "File",
    "FileSystem",
    "OsFileSystem",
    "RecordLog",
    "StorageError",
    "StorageFailedError",
    "read_sealed",
    "write_sealed",
]
