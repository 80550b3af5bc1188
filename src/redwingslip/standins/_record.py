"""Records runs: one JSON line at the start and one at the end of each run."""

import os
from datetime import datetime

import msgspec

__all__ = ["RunRecord", "RunRecorder"]


class RunRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The start or the end of a run.

    Attributes
    ----------
    event : str
        ``start``, or how the run ended: ``end``, ``failed``, ``lease-expired`` or
        ``killed``.
    incarnation : str
        Incarnation of the endpoint.
    body_sha256 : str
        SHA-256 of the request's body in hexadecimal, which identifies the request.
    """

    time: datetime
    event: str
    permit_id: str
    request_id: str
    team: str
    endpoint_id: str
    vm: str
    incarnation: str
    body_sha256: str = ""


class RunRecorder:
    """Appends records to a file, and optionally keeps them in memory.

    Parameters
    ----------
    path : str
        Path of the file; empty for none.
    keep : bool
        Whether to keep the records in `records`.

    Attributes
    ----------
    records : list of RunRecord
        The records kept in memory.
    """

    __slots__ = ("_fd", "_keep", "records")

    def __init__(self, path: str = "", *, keep: bool = False) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._fd: int | None = os.open(path, flags, 0o644) if path else None
        self._keep = keep
        self.records: list[RunRecord] = []

    def append(self, record: RunRecord) -> None:
        """Write a record; on return the operating system has it."""
        if self._keep:
            self.records.append(record)
        if self._fd is not None:
            os.write(self._fd, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None
