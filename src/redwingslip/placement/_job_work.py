"""The work that remains of a job, and what its result is worth in its queue."""

import bisect
from collections import deque
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from ..jobs import JobRecord, StepSpec

__all__ = [
    "N_RECENT_JOBS",
    "JobWork",
    "QueueWork",
    "RunningTask",
    "measure_steps",
    "measure_work",
]

MS = timedelta(milliseconds=1)
# Assumed for a task whose caller gives no estimate, so that leaving it out is no way
# to be placed first.
UNKNOWN_ESTIMATE = timedelta(seconds=1)
# A task that runs longer than expected still counts with this share of its run time.
MIN_REMAINING_SHARE = 0.1
# A job's credit: a constant part, and a part that grows with its work in relation to
# the mean of its queue (platform contract).
CREDIT_BASE, CREDIT_PER_MEAN_WORK = 0.3, 0.7
# Enough jobs for a stable tenth, few enough to follow a queue that changes.
N_RECENT_JOBS = 200
LARGE_QUANTILE = 0.9


class RunningTask(msgspec.Struct, frozen=True):
    """A run of a short task.

    Attributes
    ----------
    cores : float
        Cores that it reserves.
    started_ms : int
        Unix time at which its start was decided.
    duration_ms : float
        Expected run time.
    """

    vm_id: str
    cores: float
    started_ms: int
    duration_ms: float

    def remaining_ms(self, now_ms: int, *, speed: float = 1.0) -> float:
        """Return the time until its expected end on a VM of some speed."""
        duration_ms = self.duration_ms / speed
        left_ms = duration_ms - max(0, now_ms - self.started_ms)
        return max(left_ms, MIN_REMAINING_SHARE * duration_ms)


class JobWork(msgspec.Struct, frozen=True, kw_only=True):
    """The work of a job's short tasks, which changes only with the state of the job.

    Attributes
    ----------
    total : float
        Work of all its tasks, in core-ms.
    waiting : float
        Work of the tasks that have neither run nor are running, in core-ms.
    waiting_memory : float
        Memory of these tasks times their run times, in MB-ms.
    path_ms : float
        Expected time of the critical path through the open steps.
    running : tuple of RunningTask
        The runs that may be alive.
    has_begun : bool
        Whether any task has run.
    """

    total: float
    waiting: float
    waiting_memory: float
    path_ms: float
    running: tuple[RunningTask, ...]
    has_begun: bool


def measure_work(job: JobRecord, expected: Callable[[timedelta], timedelta]) -> JobWork:
    """Return the work of a job.

    Parameters
    ----------
    job : JobRecord
        The job, without long-running steps.
    expected : callable
        Returns the expected run time of a task by the estimate of its caller.
    """
    total = waiting = waiting_memory = 0.0
    running: list[RunningTask] = []
    ends: list[float] = []
    has_begun = False
    for number, step in enumerate(job.spec.steps):
        duration_ms = expected(step.estimate_ms * MS or UNKNOWN_ESTIMATE) / MS
        cores = step.reserved.cpu / 1000
        is_open = False
        for steps in job.tasks:
            for task in steps[number]:
                has_begun = has_begun or task.n_runs > 0
                if task.is_done:
                    continue
                is_open = True
                if not task.runs:
                    waiting += cores * duration_ms
                    waiting_memory += step.reserved.memory_mb * duration_ms
                running += [
                    RunningTask(run.vm_id, cores, run.started_ms, duration_ms)
                    for run in task.runs
                ]
        total += cores * duration_ms * step.n_tasks * len(job.tasks)
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + (duration_ms if is_open else 0.0))
    return JobWork(
        total=total,
        waiting=waiting,
        waiting_memory=waiting_memory,
        path_ms=max(ends, default=0.0),
        running=tuple(running),
        has_begun=has_begun,
    )


def measure_steps(
    steps: Sequence[StepSpec], expected: Callable[[timedelta], timedelta]
) -> tuple[float, float]:
    """Return the work of a job that has not begun, in core-ms, and its path in ms.

    The path is the expected time of the critical path. See `measure_work`.
    """
    work = 0.0
    ends: list[float] = []
    for step in steps:
        duration_ms = expected(step.estimate_ms * MS or UNKNOWN_ESTIMATE) / MS
        work += step.reserved.cpu / 1000 * duration_ms * step.n_tasks
        ends.append(max((ends[i] for i in step.after), default=0.0) + duration_ms)
    return work, max(ends, default=0.0)


class QueueWork:
    """The work of a queue's recent jobs, from which follows what one is worth."""

    __slots__ = ("_recent", "_sorted", "_sum")

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._sum = 0.0

    def record(self, work: float) -> None:
        """Record the work of a job, in core-ms."""
        if len(self._recent) == N_RECENT_JOBS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._sum -= oldest
        self._recent.append(work)
        bisect.insort(self._sorted, work)
        self._sum += work

    def credit(self, work: float) -> float:
        """Return the credit of a job with this work that finishes in time."""
        mean = self._sum / len(self._recent) if self._recent else work
        return CREDIT_BASE + CREDIT_PER_MEAN_WORK * (work / mean if mean > 0 else 1.0)

    def is_large(self, work: float) -> bool:
        """Return whether a job is among the largest tenth of the queue's jobs."""
        if not self._sorted:
            return False
        rank = int(LARGE_QUANTILE * len(self._sorted))
        return work >= self._sorted[rank] > self._sorted[0]
