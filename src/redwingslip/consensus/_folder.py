"""The data folder of a replica."""

import secrets
from pathlib import Path

import msgspec

from ..storage import (
    FileSystem,
    OsFileSystem,
    RecordLog,
    read_record_file,
    write_record_file,
)
from ..storage.exceptions import CorruptLogError
from ._messages import LogEntry, Member
from ._records import HardState, Identity, LogStart, Save, Snapshot, StoredState
from .exceptions import DataFolderError

__all__ = ["DataFolder", "bootstrap_data_folder"]

IDENTITY_NAME = "identity"
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
N_INCARNATION_BYTES = 12

_ENCODER = msgspec.msgpack.Encoder()


def bootstrap_data_folder(
    path: Path, replica_id: str, *, files: FileSystem | None = None
) -> str:
    """Create the data folder of an initial member and return its incarnation.

    Raises
    ------
    DataFolderError
        If the folder already holds a replica.
    """
    files = files or OsFileSystem()
    if files.exists(path / IDENTITY_NAME):
        raise DataFolderError(f"{path} holds a replica already")
    identity = _new_identity(replica_id, founder=True)
    _create_folder(path, identity, files)
    return identity.incarnation


class DataFolder:
    """The files of a replica: its identity, log and latest snapshot.

    Parameters
    ----------
    path : Path
        The folder, which need not exist.
    files : FileSystem or None
        The file system, that of the operating system by default.
    """

    __slots__ = ("_files", "_log", "_path")

    def __init__(self, path: Path, files: FileSystem | None = None) -> None:
        self._path = path
        self._files = files or OsFileSystem()
        self._log = RecordLog(path / LOG_NAME, self._files)

    def exists(self) -> bool:
        """Return whether the folder holds a replica's identity."""
        return self._files.exists(self._path / IDENTITY_NAME)

    def load(self, replica_id: str) -> StoredState:
        """Return the stored state; an empty folder becomes a new incarnation.

        Raises
        ------
        CorruptLogError
            If data that was synced can't be read.
        DataFolderError
            If the folder belongs to another replica.
        """
        identity = self._load_identity(replica_id)
        snapshot = self._load_snapshot()
        log_path = self._path / LOG_NAME
        if not self._files.exists(log_path):
            raise CorruptLogError(log_path, 0, "the file is missing")
        replay = _LogReplay(log_path)
        for payload in self._log.open():
            replay.apply_save(payload)
        start, entries = replay.log_after(snapshot)
        if start != replay.start:
            self.save(Save(hard_state=replay.hard_state, log_start=start))
        return StoredState(
            identity=identity,
            hard_state=replay.hard_state,
            snapshot=snapshot,
            log_start=start,
            entries=tuple(entries),
        )

    def save(self, save: Save, snapshot: Snapshot | None = None) -> None:
        """Write a save, after its snapshot if there is one; both are then durable."""
        if snapshot is not None:
            payload = _ENCODER.encode(snapshot)
            write_record_file(self._path / SNAPSHOT_NAME, payload, self._files)
        payload = _ENCODER.encode(save)
        if save.log_start is None:
            self._log.append(payload)
        else:
            self._log.rewrite([payload])

    def save_initial_members(
        self, identity: Identity, members: tuple[Member, ...]
    ) -> Identity:
        """Store the initial members and return the new identity."""
        updated = msgspec.structs.replace(identity, members=members)
        payload = _ENCODER.encode(updated)
        write_record_file(self._path / IDENTITY_NAME, payload, self._files)
        return updated

    def close(self) -> None:
        """Close the files."""
        self._log.close()

    def _load_identity(self, replica_id: str) -> Identity:
        path = self._path / IDENTITY_NAME
        if not self._files.exists(path):
            _create_folder(self._path, _new_identity(replica_id), self._files)
        payload = read_record_file(path, self._files)
        identity = msgspec.msgpack.decode(payload, type=Identity)
        if identity.replica_id != replica_id:
            raise DataFolderError(
                f"{self._path} belongs to replica {identity.replica_id}"
            )
        return identity

    def _load_snapshot(self) -> Snapshot | None:
        path = self._path / SNAPSHOT_NAME
        if not self._files.exists(path):
            return None
        return msgspec.msgpack.decode(
            read_record_file(path, self._files), type=Snapshot
        )


class _LogReplay:
    """Rebuilds the log from its stored saves."""

    __slots__ = ("_entries", "_path", "hard_state", "start")

    def __init__(self, path: Path) -> None:
        self._path = path
        self.start = LogStart()
        self._entries: list[LogEntry] = []
        self.hard_state = HardState()

    def apply_save(self, payload: bytes) -> None:
        """Apply the next stored save."""
        save = msgspec.msgpack.decode(payload, type=Save)
        if save.hard_state is not None:
            self.hard_state = save.hard_state
        if save.log_start is not None:
            self.start = save.log_start
            self._entries.clear()
        if save.truncate_from:
            del self._entries[max(0, save.truncate_from - self.start.index - 1) :]
        for entry in save.entries:
            if entry.index != self.start.index + len(self._entries) + 1:
                raise CorruptLogError(
                    self._path, 0, f"entries are missing before index {entry.index}"
                )
            self._entries.append(entry)

    def log_after(self, snapshot: Snapshot | None) -> tuple[LogStart, list[LogEntry]]:
        """Return the start and entries of the log that are consistent with a snapshot.

        The snapshot file is written before the log. A crash between the two leaves a
        log that ends before the snapshot or conflicts with it. The snapshot holds
        committed state, so the log's entries are then discarded.

        Raises
        ------
        CorruptLogError
            If the log starts after the snapshot, or after a snapshot that is missing.
        """
        if snapshot is None:
            if self.start.index:
                raise CorruptLogError(
                    self._path, 0, "the snapshot before the first log entry is missing"
                )
            return self.start, self._entries
        if self._term_at(snapshot.index) == snapshot.term:
            return self.start, self._entries
        if self.start.index > snapshot.index:
            raise CorruptLogError(self._path, 0, "the log starts after the snapshot")
        return LogStart(index=snapshot.index, term=snapshot.term), []

    def _term_at(self, index: int) -> int | None:
        if index == self.start.index:
            return self.start.term
        position = index - self.start.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None


def _new_identity(replica_id: str, *, founder: bool = False) -> Identity:
    incarnation = secrets.token_hex(N_INCARNATION_BYTES)
    return Identity(replica_id=replica_id, incarnation=incarnation, founder=founder)


def _create_folder(path: Path, identity: Identity, files: FileSystem) -> None:
    """Create a data folder with its log and identity.

    The identity is written last, so that a folder with an identity always has a log.
    """
    files.make_folder(path)
    files.sync_folder(path.parent)
    first_payload = _ENCODER.encode(Save(hard_state=HardState()))
    log = RecordLog(path / LOG_NAME, files)
    log.rewrite([first_payload])
    log.close()
    write_record_file(path / IDENTITY_NAME, _ENCODER.encode(identity), files)
