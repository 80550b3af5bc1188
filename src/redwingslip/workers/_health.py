"""How well a VM runs what it is given."""

from datetime import timedelta

import msgspec

__all__ = ["HealthSettings", "VmHealth"]


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When a VM is taken for unhealthy.

    Attributes
    ----------
    n_failures : int
        Failures in a row, of different jobs, after which a VM is avoided.
    avoid_time : timedelta
        How long it is avoided at first; doubles with each further failure.
    max_avoid_time : timedelta
        The longest time.
    """

    n_failures: int = 2
    avoid_time: timedelta = timedelta(seconds=3)
    max_avoid_time: timedelta = timedelta(seconds=12)


class VmHealth:
    """Counts a VM's failures.

    A job whose tasks can't succeed fails everywhere; a VM that is unhealthy fails the
    tasks of several jobs in a row.

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
        """Take note of a run that ended well."""
        self._failed_jobs.clear()

    def note_failure(self, job_id: str, now: timedelta) -> bool:
        """Take note of a failed run; return whether the VM is avoided from now on."""
        if job_id not in self._failed_jobs:
            self._failed_jobs.append(job_id)
        n_beyond = len(self._failed_jobs) - self._cfg.n_failures
        if n_beyond < 0:
            return False
        duration = min(self._cfg.avoid_time * 2**n_beyond, self._cfg.max_avoid_time)
        self._avoid_until = now + duration
        return True

    def avoid(self, now: timedelta) -> None:
        """Avoid the VM for a while, for a reason other than failures."""
        self._avoid_until = now + self._cfg.avoid_time

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether new runs should go elsewhere."""
        return self._avoid_until is not None and now < self._avoid_until
