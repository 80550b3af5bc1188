"""Detection of stalled and slow runs."""

from datetime import timedelta

import msgspec

__all__ = ["ProgressSettings", "RunProgress"]

DONE_PERCENT = 100
# A run with less progress has no pace that says anything.
MIN_PROGRESS_PERCENT = 0.001


class ProgressSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that decide when a run should be restarted on another VM.

    Attributes
    ----------
    stall_time : timedelta
        A run whose percentage does not change for this long is stalled.
    slow_factor : float
        A run is an outlier if its projected run time exceeds the longest usual run time
        by this factor.
    restart_cost : timedelta
        Time that a restart takes beside the run itself: the platform gives a run almost
        a second to stop (platform contract), and the new run waits for its order.
    max_runs : int
        A task is restarted for lack of progress at most this often in one term of a
        leader. Runs that end for other reasons do not count.
    """

    stall_time: timedelta = timedelta(milliseconds=1800)
    slow_factor: float = 2.5
    restart_cost: timedelta = timedelta(seconds=1)
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

    def is_outlier(
        self, now: timedelta, usual: timedelta, cfg: ProgressSettings
    ) -> bool:
        """Return whether the run takes far longer than runs elsewhere.

        Parameters
        ----------
        now : timedelta
            Monotonic time of the last poll that listed the run.
        usual : timedelta
            Longest usual run time of such a run.
        cfg : ProgressSettings
            The settings.
        """
        if now - self._first_at < usual:
            return False
        return self._projected(now, DONE_PERCENT) > cfg.slow_factor * usual

    def is_slow(self, now: timedelta, usual: timedelta, cfg: ProgressSettings) -> bool:
        """Return whether an outlier would end sooner if restarted on another VM.

        The parameters are those of `is_outlier`.
        """
        if not self.is_outlier(now, usual, cfg):
            return False
        remaining = self._projected(now, DONE_PERCENT - self._percent)
        return remaining > usual + cfg.restart_cost

    def _projected(self, now: timedelta, percent: float) -> timedelta:
        """Return the time that a part of the run takes at its pace so far.

        A run with hardly any progress is left to `is_stalled`.
        """
        progress = self._percent - self._first_percent
        if progress < MIN_PROGRESS_PERCENT:
            return timedelta(0)
        return (now - self._first_at) * (percent / progress)
