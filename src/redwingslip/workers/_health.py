"""Health of a VM, judged by the runs that fail on it."""

from collections.abc import Hashable
from datetime import timedelta

import msgspec

__all__ = ["HealthSettings", "VmHealth"]


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for the detection of unhealthy VMs.

    Attributes
    ----------
    n_failed_jobs : int
        Number of different jobs with failed runs, without a success in between, after
        which a VM is ejected.
    n_failed_tasks : int
        Number of different tasks of one job with failed runs, without a success in
        between, after which a VM is ejected if the job fails on no other VM.
    avoid_time : timedelta
        How long the VM is avoided or ejected at first. The time of an ejection doubles
        with each further failure after it.
    max_avoid_time : timedelta
        Upper bound of that time.
    max_ejected_share : float
        Ejections have no effect while more than this share of the VMs of a pool is
        ejected: then the jobs, not the VMs, are probably at fault.
    """

    n_failed_jobs: int = 2
    n_failed_tasks: int = 3
    avoid_time: timedelta = timedelta(seconds=3)
    max_avoid_time: timedelta = timedelta(seconds=12)
    max_ejected_share: float = 0.34


class VmHealth:
    """Counts the failures of a VM, and decides whether to avoid or to eject it.

    An avoided VM gets new runs only if no other VM is suitable. An ejected VM gets
    none, since it would use up the attempts of the tasks. An unhealthy VM fails the
    tasks of several jobs in a row, or several tasks of a job that fails nowhere else. A
    job that can't succeed fails on every VM.

    Parameters
    ----------
    cfg : HealthSettings
        The settings.
    """

    __slots__ = ("_avoided_until", "_cfg", "_ejected_until", "_failed", "_n_ejections")

    def __init__(self, cfg: HealthSettings) -> None:
        self._cfg = cfg
        self._failed: dict[str, set[Hashable]] = {}
        self._n_ejections = 0
        self._avoided_until: timedelta | None = None
        self._ejected_until: timedelta | None = None

    def note_success(self) -> None:
        """Record a successful run."""
        self._failed.clear()
        self._n_ejections = 0

    def note_failure(
        self, job_id: str, task: Hashable, now: timedelta, *, fails_elsewhere: bool
    ) -> bool:
        """Record a failed run and return whether the VM is ejected because of it.

        Parameters
        ----------
        job_id : str
            The job of the run.
        task : hashable
            Identifies the task within the job.
        now : timedelta
            Monotonic time.
        fails_elsewhere : bool
            Whether runs of the job have failed on other VMs.
        """
        self._failed.setdefault(job_id, set()).add(task)
        has_failed_jobs = len(self._failed) >= self._cfg.n_failed_jobs
        has_failed_tasks = (
            not fails_elsewhere
            and len(self._failed[job_id]) >= self._cfg.n_failed_tasks
        )
        if not has_failed_jobs and not has_failed_tasks:
            return False
        if self.is_ejected(now):
            # Runs that were started before the ejection fail after it.
            return False
        duration = self._cfg.avoid_time * 2**self._n_ejections
        self._ejected_until = now + min(duration, self._cfg.max_avoid_time)
        self._n_ejections += 1
        return True

    def avoid(self, now: timedelta) -> None:
        """Avoid the VM for `avoid_time`, for a reason other than failed runs."""
        self._avoided_until = now + self._cfg.avoid_time

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether new runs should be placed on other VMs."""
        if self.is_ejected(now):
            return True
        return self._avoided_until is not None and now < self._avoided_until

    def is_ejected(self, now: timedelta) -> bool:
        """Return whether the VM should get no new runs."""
        return self._ejected_until is not None and now < self._ejected_until
