"""Detection of failure clusters, during which maintenance waves are held."""

from collections.abc import Set
from datetime import timedelta

from ._settings import WaveSettings

__all__ = ["FailureMonitor"]


class FailureMonitor:
    """Detects when failures cluster and when the fleet has recovered.

    Parameters
    ----------
    settings : WaveSettings
        Size of a cluster, and the time windows for failures and recovery.
    """

    __slots__ = ("_failed_at", "_failed_vms", "_is_clustered", "_settings")

    def __init__(self, settings: WaveSettings) -> None:
        self._settings = settings
        self._failed_vms: frozenset[str] = frozenset()
        self._failed_at: dict[str, timedelta] = {}
        self._is_clustered = False

    @property
    def is_clustered(self) -> bool:
        """Whether failures are clustered, so that waves start no maintenance."""
        return self._is_clustered

    def observe(self, failed_vms: Set[str], now: timedelta) -> None:
        """Update the monitor with the names of all VMs that are failed at `now`.

        A VM that recovers within the window still counts, because a fleet whose VMs
        fail and recover in turn is not stable.
        """
        for vm in failed_vms - self._failed_vms:
            self._failed_at[vm] = now
        self._failed_vms = frozenset(failed_vms)
        window = self._settings.failure_window
        self._failed_at = {
            vm: at
            for vm, at in self._failed_at.items()
            if vm in failed_vms or now - at < window
        }
        if self._is_clustered:
            self._is_clustered = not self._has_recovered(failed_vms, now)
        else:
            self._is_clustered = self._n_recent_failures(now) >= (
                self._settings.n_failures_to_hold
            )

    def _n_recent_failures(self, now: timedelta) -> int:
        window = self._settings.failure_window
        return sum(now - at < window for at in self._failed_at.values())

    def _has_recovered(self, failed_vms: Set[str], now: timedelta) -> bool:
        latest_failure_at = max(self._failed_at.values(), default=None)
        time_since_failure = (
            timedelta.max if latest_failure_at is None else now - latest_failure_at
        )
        if time_since_failure >= self._settings.give_up_after:
            return True
        is_healthy = len(failed_vms) <= self._settings.n_failures_to_go_on
        return is_healthy and time_since_failure >= self._settings.calm
