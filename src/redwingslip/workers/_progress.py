"""Whether runs go forward as they should."""

from datetime import timedelta

import msgspec

__all__ = ["ProgressSettings", "RunProgress"]

DONE_PERCENT = 100


class ProgressSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When a run is better begun anew on another VM.

    Attributes
    ----------
    stall_time : timedelta
        A run whose percentage stands still for this long hangs.
    slow_factor : float
        A run is slow when it will take more than this many times its estimate, which
        may be half of the truth (platform contract).
    max_runs : int
        Runs of a task after which it is left to its pace.
    """

    stall_time: timedelta = timedelta(milliseconds=1800)
    slow_factor: float = 6.0
    max_runs: int = 4


class RunProgress:
    """How far a run was at each look.

    Parameters
    ----------
    now : timedelta
        When it was first listed.
    percent : float
        How far it was then.
    """

    __slots__ = ("_first", "_first_at", "_moved_at", "_percent")

    def __init__(self, now: timedelta, percent: float) -> None:
        self._first_at = now
        self._first = percent
        self._moved_at = now
        self._percent = percent

    def update(self, now: timedelta, percent: float) -> None:
        """Take the percentage of another look."""
        if percent != self._percent:
            self._percent = percent
            self._moved_at = now

    def is_stalled(self, now: timedelta, cfg: ProgressSettings) -> bool:
        """Return whether the run stands still."""
        is_moving = self._percent >= DONE_PERCENT
        return not is_moving and now - self._moved_at >= cfg.stall_time

    def is_slow(
        self, now: timedelta, estimate: timedelta, cfg: ProgressSettings
    ) -> bool:
        """Return whether it would be done sooner if it were begun anew elsewhere."""
        gained = self._percent - self._first
        elapsed = now - self._first_at
        if not estimate or gained <= 0 or elapsed < 2 * estimate:
            return False
        total = elapsed * (DONE_PERCENT / gained)
        left = elapsed * ((DONE_PERCENT - self._percent) / gained)
        return total > cfg.slow_factor * estimate and left > 2 * estimate
