"""Whether a pool still finishes its accepted jobs in time if it takes one more."""

from collections import deque
from collections.abc import Iterable

from ._capacity import CapacityPlan
from ._selection import CompetingJob

__all__ = ["BidPrice", "DemandProfile"]

STEP_MS = 50.0
# 20 s; jobs that are due later count as due then.
N_STEPS = 400


class DemandProfile:
    """The work that is due by each time, against what a pool can do until then.

    Jobs that go by due time all finish in time if, for each time, the work that is due
    by then fits into the capacity until then (the demand bound of earliest deadline
    first).

    Parameters
    ----------
    jobs : iterable of CompetingJob
        The jobs that are planned to finish in time.
    capacity : CapacityPlan
        Capacity of the pool for waiting tasks.
    now_ms : int
        Unix time at which the plan begins.
    """

    __slots__ = ("_slack", "_start_ms")

    def __init__(
        self, jobs: Iterable[CompetingJob], capacity: CapacityPlan, now_ms: int
    ) -> None:
        self._start_ms = now_ms
        due = [0.0] * N_STEPS
        for job in jobs:
            due[self._step(job.due_ms)] += job.waiting
        # Work that could still be added, by due time.
        self._slack: list[float] = []
        total = 0.0
        for step, work in enumerate(due):
            total += work
            self._slack.append(capacity.work_by(step * STEP_MS) - total)

    def fits(self, job: CompetingJob) -> bool:
        """Return whether a job and all that is due after it still finish in time."""
        return min(self._slack[self._step(job.due_ms) :]) >= job.waiting

    def add(self, job: CompetingJob) -> None:
        """Add a job that was accepted."""
        step = self._step(job.due_ms)
        self._slack[step:] = [slack - job.waiting for slack in self._slack[step:]]

    def _step(self, due_ms: float) -> int:
        return max(0, min(N_STEPS - 1, int((due_ms - self._start_ms) // STEP_MS)))


class BidPrice:
    """The credit that a core-ms must bring so that recent arrivals fit into a pool.

    Without it, a pool that takes each job while there is room is full of jobs that are
    worth little when others arrive.

    Parameters
    ----------
    window_ms : float
        Time over which arrivals count.
    now_ms : int
        Unix time from which on arrivals are known.
    """

    __slots__ = ("_arrivals", "_known", "_since_ms", "_window_ms")

    def __init__(self, window_ms: float, now_ms: int) -> None:
        self._window_ms = window_ms
        self._since_ms = now_ms
        # Time, id, credit for each core-ms, and work of the jobs that arrived.
        self._arrivals: deque[tuple[int, str, float, float]] = deque()
        self._known: set[str] = set()

    def record(self, job: CompetingJob, now_ms: int) -> None:
        """Record an arrival; a repeat within the window counts once."""
        self._drop_old(now_ms)
        if job.job_id not in self._known:
            self._known.add(job.job_id)
            density = job.credit / job.waiting
            self._arrivals.append((now_ms, job.job_id, density, job.waiting))

    def price(self, cores: float, now_ms: int) -> float:
        """Return the least credit for a core-ms that is served; 0 if all arrivals fit.

        Parameters
        ----------
        cores : float
            Cores of the pool.
        now_ms : int
            Unix time.
        """
        self._drop_old(now_ms)
        observed_ms = min(self._window_ms, max(STEP_MS, now_ms - self._since_ms))
        left = cores * observed_ms
        for density, work in sorted(
            ((density, work) for _, _, density, work in self._arrivals), reverse=True
        ):
            left -= work
            if left < 0:
                return density
        return 0.0

    def _drop_old(self, now_ms: int) -> None:
        while self._arrivals and self._arrivals[0][0] < now_ms - self._window_ms:
            self._known.discard(self._arrivals.popleft()[1])
