"""Detection of stalled and slow runs."""

from datetime import timedelta

import msgspec

__all__ = ["ProgressSettings", "RunProgress"]

DONE_PERCENT = 100


class ProgressSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that decide when a run should be restarted on another VM.

    Attributes
    ----------
    stall_time : timedelta
        A run whose percentage does not change for this long is stalled.
    slow_factor : float
        A run is slow if its projected run time exceeds its estimate by this factor. The
        estimate itself may be half of the true run time (platform contract).
    max_runs : int
        Highest run number of a task that is still restarted for lack of progress.
    """

    stall_time: timedelta = timedelta(milliseconds=1800)
    slow_factor: float = 6.0
    max_runs: int = 4


class RunProgress:
    """Tracks the progress of a run over successive polls of its VM.

    Parameters
    ----------
    now : timedelta
        Monotonic time of the first poll that listed the run.
    percent : float
        Progress of the run at that time.
    """

    __slots__ = ("_changed_at", "_first_at", "_first_percent", "_percent")

    def __init__(self, now: timedelta, percent: float) -> None:
        self._first_at = now
        self._first_percent = percent
        self._changed_at = now
        self._percent = percent

    def update(self, now: timedelta, percent: float) -> None:
        """Record the percentage that a further poll returned."""
        if percent != self._percent:
            self._percent = percent
            self._changed_at = now

    def is_stalled(self, now: timedelta, cfg: ProgressSettings) -> bool:
        """Return whether the run makes no progress."""
        is_finished = self._percent >= DONE_PERCENT
        return not is_finished and now - self._changed_at >= cfg.stall_time

    def is_slow(
        self, now: timedelta, estimate: timedelta, cfg: ProgressSettings
    ) -> bool:
        """Return whether the run would finish sooner if restarted on another VM."""
        progress = self._percent - self._first_percent
        elapsed = now - self._first_at
        if not estimate or progress <= 0 or elapsed < 2 * estimate:
            return False
        total = elapsed * (DONE_PERCENT / progress)
        remaining = elapsed * ((DONE_PERCENT - self._percent) / progress)
        return total > cfg.slow_factor * estimate and remaining > 2 * estimate
