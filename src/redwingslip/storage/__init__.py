"""Storage: checksummed records in files that are synced before they count."""

from ._files import File, FileSystem, OsFileSystem
from ._records import RecordLog, read_record_file, write_record_file
from .exceptions import CorruptLogError, StorageError, StorageWriteError

__all__ = [
    "CorruptLogError",
    "File",
    "FileSystem",
    "OsFileSystem",
    "RecordLog",
    "StorageError",
    "StorageWriteError",
    "read_record_file",
    "write_record_file",
]
