"""Writes lines to a file descriptor whose reader may be slow."""

import contextlib
import os
import threading
from collections import deque

__all__ = ["LineStream"]

MAX_WRITE_LINES = 256


class LineStream:
    """Writes lines in a separate thread, so that callers never wait for the reader.

    Parameters
    ----------
    fd : int
        Descriptor to write to.
    max_pending : int
        Maximum number of lines that wait to be written; further lines are dropped and
        counted.

    Attributes
    ----------
    n_dropped : int
        Number of lines that were dropped or failed to be written.
    """

    __slots__ = ("_fd", "_max_pending", "_pending", "_thread", "_wake", "n_dropped")

    def __init__(self, fd: int, max_pending: int) -> None:
        self._fd = fd
        self._max_pending = max_pending
        self._pending: deque[bytes] = deque()
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None
        self.n_dropped = 0

    def write(self, line: bytes) -> bool:
        """Queue one line; return False when the queue is full and the line dropped."""
        if len(self._pending) >= self._max_pending:
            self.n_dropped += 1
            return False
        self._pending.append(line)
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._write_forever, name="log", daemon=True
            )
            self._thread.start()
        self._wake.set()
        return True

    def sync(self) -> None:
        """Do nothing, since storing the lines is up to the reader."""

    def close(self) -> None:
        """Write the waiting lines that the reader accepts without blocking."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._fd, False)
            self._write_pending()

    def _write_forever(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            try:
                self._write_pending()
            except OSError:
                self.n_dropped += len(self._pending)
                self._pending.clear()

    def _write_pending(self) -> None:
        while self._pending:
            n_lines = min(len(self._pending), MAX_WRITE_LINES)
            data = b"".join(self._pending.popleft() for _ in range(n_lines))
            while data:
                data = data[os.write(self._fd, data) :]
