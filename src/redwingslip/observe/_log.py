"""The event log of one process: JSON lines written through eliot.

Each run of the process is one eliot task: ``task_uuid`` identifies the run, and
``task_level`` numbers its events.
"""

import contextlib
import os
import sys
from pathlib import Path

import eliot
import msgspec
from zope.interface import implementer

from ..clock import Clock
from ..settings import LogSettings, RequestLogging
from ._events import Event, EventName
from ._stream import LineStream

__all__ = ["EventLog"]

MAX_DETAIL_CHARACTERS = 500
FIRST_ERROR_STATUS = 400
ACTION_TYPE = "redwingslip.process"

_REQUEST_EVENTS = frozenset(
    {
        EventName.REQUEST_RECEIVED,
        EventName.PERMIT_GRANTED,
        EventName.CALL_SENT,
        EventName.CALL_ENDED,
        EventName.REQUEST_ANSWERED,
        EventName.REQUEST_REFUSED,
    }
)


class _LineFile:
    """A file of lines that keeps working after disk errors.

    A line that can't be written is dropped and counted. A file that would exceed its
    limit is renamed with the ending ``.1``, and a new file is started.
    """

    __slots__ = ("_fd", "_is_torn", "_max_bytes", "_n_bytes", "_path", "n_dropped")

    def __init__(self, path: Path, max_bytes: int) -> None:
        self._path = path
        self._max_bytes = max_bytes
        self._fd = -1
        self._n_bytes = 0
        self._is_torn = False
        self.n_dropped = 0

    def write(self, line: bytes) -> bool:
        """Write one line; return whether the whole line was written."""
        try:
            self._open(len(line))
            if self._is_torn:
                line = b"\n" + line
            n_written = os.write(self._fd, line)
        except OSError:
            self.n_dropped += 1
            return False
        self._n_bytes += n_written
        self._is_torn = n_written < len(line)
        if self._is_torn:
            self.n_dropped += 1
        return not self._is_torn

    def _open(self, n_bytes_to_write: int) -> None:
        """Open the file if needed; rotate it if it would exceed its limit."""
        if self._fd >= 0 and self._n_bytes + n_bytes_to_write > self._max_bytes:
            self.close()
            os.replace(self._path, f"{self._path}.1")
        if self._fd >= 0:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._fd = os.open(self._path, flags, 0o640)
        self._n_bytes = os.fstat(self._fd).st_size
        # An earlier run may have left an incomplete last line. The next line therefore
        # starts with a line break.
        self._is_torn = self._n_bytes > 0

    def sync(self) -> None:
        """Flush the file to disk; errors of the disk are ignored."""
        if self._fd >= 0:
            with contextlib.suppress(OSError):
                os.fsync(self._fd)

    def close(self) -> None:
        """Close the file; the next line opens it again."""
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            with contextlib.suppress(OSError):
                os.close(fd)


@implementer(eliot.ILogger)
class _FileLogger:
    """Writes eliot's messages to the log of one process, as JSON lines."""

    __slots__ = ("_clock", "_encoder", "_file", "_process")

    def __init__(
        self, file: _LineFile | LineStream, process: str, clock: Clock
    ) -> None:
        self._file = file
        self._process = process
        self._clock = clock
        self._encoder = msgspec.json.Encoder()

    def write(self, dictionary: dict, serializer=None) -> None:
        """Write one message, with the time and the name of the process."""
        dictionary["timestamp"] = self._clock.utcnow().timestamp()
        dictionary["process"] = self._process
        try:
            line = self._encoder.encode(dictionary)
        except UnicodeEncodeError:
            line = self._encoder.encode(_escape_surrogates(dictionary))
        self._file.write(line + b"\n")


def _escape_surrogates(fields: dict) -> dict:
    """Escape lone surrogates in texts, since they can't be encoded as UTF-8."""
    return {
        key: value.encode("utf-8", "backslashreplace").decode()
        if isinstance(value, str)
        else value
        for key, value in fields.items()
    }


class EventLog:
    """Writes the events of a process to its log.

    Parameters
    ----------
    cfg : LogSettings
        Destination of the log and choice of events. Nothing is written when there is
        neither a path nor ``to_stdout``.
    process_id : str
        Name of the process.
    clock : Clock
        Gives the times of the events.
    """

    __slots__ = ("_action", "_file", "_n_dropped_reported", "_requests")

    def __init__(self, cfg: LogSettings, *, process_id: str, clock: Clock) -> None:
        self._requests = cfg.requests
        self._n_dropped_reported = 0
        self._file: _LineFile | LineStream | None = None
        self._action: eliot.Action | None = None
        if cfg.path is not None:
            self._file = _LineFile(cfg.path, cfg.max_file_bytes)
        elif cfg.to_stdout:
            self._file = LineStream(sys.stdout.fileno(), cfg.max_pending_lines)
        if self._file is not None:
            logger = _FileLogger(self._file, process_id, clock)
            self._action = eliot.start_task(logger, action_type=ACTION_TYPE)

    @property
    def n_dropped(self) -> int:
        """Return the number of lines that could not be written."""
        return 0 if self._file is None else self._file.n_dropped

    def emit(self, event: Event) -> None:
        """Write an event; an error of the disk drops the event and is not raised."""
        if self._action is None or not self._is_logged(event):
            return
        fields = msgspec.to_builtins(event)
        name = fields.pop("name")
        if len(event.detail) > MAX_DETAIL_CHARACTERS:
            fields["detail"] = event.detail[:MAX_DETAIL_CHARACTERS] + "..."
        n_dropped = self._file.n_dropped
        self._action.log(name, **fields)
        is_written = self._file.n_dropped == n_dropped
        if is_written and n_dropped > self._n_dropped_reported:
            self._report_dropped()

    def _is_logged(self, event: Event) -> bool:
        """Return whether the settings select an event; they filter request events."""
        if event.name not in _REQUEST_EVENTS or self._requests is RequestLogging.ALL:
            return True
        if self._requests is RequestLogging.OFF:
            return False
        is_refusal = event.name is EventName.REQUEST_REFUSED
        return is_refusal or event.status >= FIRST_ERROR_STATUS

    def _report_dropped(self) -> None:
        """Log the number of lines that were dropped since the last such report."""
        n_new = self._file.n_dropped - self._n_dropped_reported
        self._n_dropped_reported = self._file.n_dropped
        self._action.log(EventName.WARNING.value, detail=f"{n_new} events dropped")

    def flush(self) -> None:
        """Flush the written lines to disk."""
        if self._file is not None:
            self._file.sync()

    def close(self) -> None:
        """Finish the process's eliot task and close the file."""
        if self._action is None:
            return
        self._action.finish()
        self._action = None
        self._file.sync()
        self._file.close()
