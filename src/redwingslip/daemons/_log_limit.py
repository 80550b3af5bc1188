"""The limit on what libraries write to the standard error of a daemon."""

import logging
from datetime import timedelta

from ..clock import Clock

__all__ = ["LogLimit", "limit_library_logs"]

# uvicorn writes a line for each input that is not HTTP, asyncio one with a traceback
# for each failed TLS handshake, so that clients could fill the disk.
LIBRARY_LOGGERS = ("uvicorn.error", "asyncio", "grpclib.server", "grpclib.protocol")
INTERVAL = timedelta(seconds=10)
MAX_RECORDS = 20


class LogLimit(logging.Filter):
    """Lets 20 records pass in 10 seconds, and adds how many it held back before.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._began_at: timedelta | None = None
        self._n_records = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record passes."""
        now = self._clock.monotonic()
        if self._began_at is None or now - self._began_at >= INTERVAL:
            n_held = max(0, self._n_records - MAX_RECORDS)
            self._began_at = now
            self._n_records = 0
            if n_held:
                record.msg = f"{record.msg} ({n_held} records were left out before)"
        self._n_records += 1
        return self._n_records <= MAX_RECORDS


def limit_library_logs(clock: Clock) -> None:
    """Limit the records of the libraries that log what clients cause."""
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).addFilter(LogLimit(clock))
