"""Lines to a file descriptor whose reader may be slow."""

import contextlib
import os
import threading
from collections import deque

__all__ = ["LineStream"]

MAX_WRITE_LINES = 256


class LineStream:
    """Writes lines by a thread of its own, so that no caller waits for the reader.

    Parameters
    ----------
    fd : int
        Where to write.
    max_pending : int
        Lines that wait at most; more are dropped and counted.

    Attributes
    ----------
    n_dropped : int
        Lines that were not written.
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
        """Take one line; return whether it will be written."""
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
        """Do nothing: the reader keeps the lines."""

    def close(self) -> None:
        """Write what waits, as far as the reader takes it at once."""
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
