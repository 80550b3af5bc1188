"""Storage: checksummed records in files, each synced before it is acknowledged."""

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
