"""Health of a VM, judged by the runs that fail on it."""

from datetime import timedelta

import msgspec

__all__ = ["HealthSettings", "VmHealth"]


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for the detection of unhealthy VMs.

    Attributes
    ----------
    n_failures : int
        Number of different jobs with failed runs, without a success in between, after
        which a VM is avoided.
    avoid_time : timedelta
        How long the VM is avoided at first. The time doubles with each further job that
        fails.
    max_avoid_time : timedelta
        Upper bound of that time.
    """

    n_failures: int = 2
    avoid_time: timedelta = timedelta(seconds=3)
    max_avoid_time: timedelta = timedelta(seconds=12)


class VmHealth:
    """Counts the failures of a VM and decides whether to avoid it.

    Failures are counted by job, since a job whose tasks can't succeed fails on every
    VM. An unhealthy VM fails the tasks of several jobs in a row.

    Parameters
    ----------
    cfg : HealthSettings
        The settings.
    """

    __slots__ = ("_avoid_until", "_cfg", "_failed_jobs")

    def __init__(self, cfg: HealthSettings) -> None:
        self._cfg = cfg
        self._failed_jobs: list[str] = []
        self._avoid_until: timedelta | None = None

    def note_success(self) -> None:
        """Record a successful run."""
        self._failed_jobs.clear()

    def note_failure(self, job_id: str, now: timedelta) -> bool:
        """Record a failed run and return whether the VM is avoided because of it."""
        if job_id not in self._failed_jobs:
            self._failed_jobs.append(job_id)
        n_excess = len(self._failed_jobs) - self._cfg.n_failures
        if n_excess < 0:
            return False
        duration = min(self._cfg.avoid_time * 2**n_excess, self._cfg.max_avoid_time)
        self._avoid_until = now + duration
        return True

    def avoid(self, now: timedelta) -> None:
        """Avoid the VM for `avoid_time`, for a reason other than failed runs."""
        self._avoid_until = now + self._cfg.avoid_time

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether new runs should be placed on other VMs."""
        return self._avoid_until is not None and now < self._avoid_until
