"""Refuses jobs that the memory for jobs has no room for."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from ..jobs import SMALL_JOB_BYTES, JobSpec, job_bytes
from ..observe import EventName
from ..placement import spread_retry
from ._settings import SchedulingSettings
from ._term import Term
from .exceptions import CommandOutcomeUnknownError, JobRefusedError

__all__ = ["JobMemory", "max_job_bytes"]

MS = timedelta(milliseconds=1)
# On a controller of 424 MB, an idle process takes 55 MB, bodies 53 MB, the log 24 MB,
# and decoding the largest body about 100 MB for a moment.
MACHINE_FRACTION = 0.45
# Part of the memory that large jobs leave free for small ones.
RESERVED_FRACTION = 0.5
# The ended jobs are listed again for the time of a retry when this has passed. Listing
# them takes milliseconds, and refusals come in crowds.
LIST_INTERVAL = timedelta(seconds=1)
LOG_INTERVAL = timedelta(seconds=10)
REFUSAL_CAUSE = "job-bytes"


def max_job_bytes(cfg: SchedulingSettings, machine_bytes: int) -> int:
    """Return the limit of the bytes of all jobs, by the settings or the machine."""
    if cfg.max_job_bytes is not None:
        return cfg.max_job_bytes
    return int(machine_bytes * MACHINE_FRACTION)


class JobMemory:
    """Decides on each new job whether the replicas have memory for it.

    All jobs in the state count, and those that are being committed. The state counts
    the same bytes on every replica, and a job is refused before it is proposed, so that
    the replicas need not decide anything: each applies what was committed.

    Small jobs may use all of the memory, and always the reserve. Large ones leave the
    reserve free; a single one is accepted whatever its size, so that each valid job
    can run at some time.

    Parameters
    ----------
    term : Term
        The term of this leader.
    cfg : SchedulingSettings
        The settings.
    machine_bytes : int
        Memory that the process may use.
    """

    __slots__ = (
        "_ended",
        "_keep_ms",
        "_listed_at",
        "_logged_at",
        "_max_bytes",
        "_n_proposed",
        "_n_refusals",
        "_proposed",
        "_reserve",
        "_term",
    )

    def __init__(
        self, *, term: Term, cfg: SchedulingSettings, machine_bytes: int
    ) -> None:
        self._term = term
        self._max_bytes = max_job_bytes(cfg, machine_bytes)
        self._reserve = int(self._max_bytes * RESERVED_FRACTION)
        self._keep_ms = cfg.forget_after // MS
        # Bytes of the jobs that are being committed, or may be, by id; and their sums,
        # of small and of large ones.
        self._proposed: dict[str, int] = {}
        self._n_proposed = [0, 0]
        self._ended: list[tuple[int, int]] = []
        self._listed_at: timedelta | None = None
        self._logged_at: timedelta | None = None
        self._n_refusals = 0

    @contextmanager
    def submission(self, spec: JobSpec) -> Iterator[None]:
        """Check a job that is not known yet, and count it while it is committed.

        A job whose outcome is not known is never refused later, since it may run.

        Raises
        ------
        JobRefusedError
            There is no memory for the job, and it never runs.
        """
        job_id = spec.job_id
        if job_id in self._proposed:
            yield
            # The outcome of an earlier submission is known now.
            self._settle(job_id)
            return
        n_bytes = job_bytes(spec)
        # Another leader may have accepted the job if this one doesn't lead any more.
        if not self._fits(n_bytes) and self._term.is_leading():
            self._refuse(job_id, n_bytes)
        self._proposed[job_id] = n_bytes
        self._n_proposed[_is_large(n_bytes)] += n_bytes
        try:
            yield
        except (CommandOutcomeUnknownError, asyncio.CancelledError):
            raise
        except BaseException:
            self._settle(job_id)
            raise
        self._settle(job_id)

    def _settle(self, job_id: str) -> None:
        n_bytes = self._proposed.pop(job_id, None)
        if n_bytes is not None:
            self._n_proposed[_is_large(n_bytes)] -= n_bytes

    def _usage(self) -> tuple[int, int]:
        """Return the bytes of small jobs and those of large ones."""
        sizes = self._term.state.sizes
        n_small, n_large = self._n_proposed
        return sizes.n_small_bytes + n_small, sizes.n_large_bytes + n_large

    def _fits(self, n_bytes: int) -> bool:
        return self._missing(n_bytes) <= 0

    def _missing(self, n_bytes: int) -> int:
        """Return how many bytes have to be freed before a job fits."""
        n_small, n_large = self._usage()
        if _is_large(n_bytes):
            over = n_large + max(n_small, self._reserve) + n_bytes - self._max_bytes
            return min(over, n_large)
        over = n_small + n_large + n_bytes - self._max_bytes
        return min(over, n_small + n_bytes - self._reserve)

    def _refuse(self, job_id: str, n_bytes: int) -> None:
        wait_ms = self._wait_ms(n_bytes)
        retry_s = spread_retry(job_id, wait_ms, max_ms=2 * self._keep_ms)
        self._term.metrics.add_memory_refusals(1, cause=REFUSAL_CAUSE)
        self._n_refusals += 1
        now = self._term.clock.monotonic()
        if self._logged_at is None or now - self._logged_at >= LOG_INTERVAL:
            n_small, n_large = self._usage()
            self._logged_at = now
            detail = (
                f"{REFUSAL_CAUSE}: {self._n_refusals}; small jobs use {n_small} and "
                f"large ones {n_large} of {self._max_bytes} bytes; "
                f"this one takes {n_bytes}, retry in {retry_s} s"
            )
            self._n_refusals = 0
            self._term.emit(EventName.MEMORY_REFUSED, request_id=job_id, detail=detail)
        raise JobRefusedError(
            "there is no memory for the job, as jobs are kept for some time after "
            "their end",
            retry_after=timedelta(seconds=retry_s),
        )

    def _wait_ms(self, n_bytes: int) -> float:
        """Return when enough ended jobs will be forgotten for a job to fit.

        If that is not enough, active jobs have to end, which takes at least as long as
        an ended job is kept.
        """
        now_ms = self._term.now_ms()
        missing = self._missing(n_bytes)
        for ended_ms, freed in self._list_ended():
            if _is_large(n_bytes) and not _is_large(freed):
                continue
            missing -= freed
            if missing <= 0:
                return max(0, ended_ms + self._keep_ms - now_ms)
        return self._keep_ms

    def _list_ended(self) -> list[tuple[int, int]]:
        """Return the time of its end and the bytes of each ended job, oldest first."""
        now = self._term.clock.monotonic()
        if self._listed_at is None or now - self._listed_at >= LIST_INTERVAL:
            self._listed_at = now
            state = self._term.state
            self._ended = sorted(
                (job.ended_ms, state.sizes.of_job(job_id))
                for job_id, job in state.jobs.items()
                if job.ended_ms
            )
        return self._ended


def _is_large(n_bytes: int) -> bool:
    return n_bytes > SMALL_JOB_BYTES
