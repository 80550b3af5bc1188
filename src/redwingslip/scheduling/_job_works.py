"""The remaining work of the active jobs, kept up to date for decisions on overload."""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import msgspec

from ..jobs import JobRecord, JobSpec, JobsState
from ..placement import (
    AdmissionSettings,
    CompetingJob,
    JobWork,
    QueueWork,
    measure_steps,
    measure_work,
)
from ..workers import RunTimeModel
from ._job_index import ON_TIME_ESTIMATE_SHARE, JobIndex

__all__ = ["JobWorks", "PoolWork"]

# A job with a tight objective still has the rest of it to wait for a VM.
MAX_PATH_SHARE = 0.8


class _Entry(msgspec.Struct, frozen=True):
    """An active job without long-running steps, and its work.

    Attributes
    ----------
    due_ms : float
        Unix time at which it is due; -inf for a repeated job, which doesn't compete.
    max_path_ms : float
        Longest time that is planned for its critical path, with a margin.
    """

    job_id: str
    queue: str
    customer: str
    priority: int
    due_ms: float
    max_path_ms: float
    work: JobWork


class PoolWork:
    """The work of the jobs of one pool at one time.

    Attributes
    ----------
    jobs : list of CompetingJob
        The jobs that can finish in time and have waiting tasks.
    waiting, waiting_memory : float
        Work of the waiting tasks of these jobs, in core-ms and MB-ms.
    busy : list of (float, float)
        The runs of short tasks on the pool's VMs: milliseconds until the expected end,
        and cores.
    held : Counter of str
        Cores in use by these runs, by customer.
    """

    __slots__ = ("busy", "held", "jobs", "waiting", "waiting_memory")

    def __init__(self) -> None:
        self.jobs: list[CompetingJob] = []
        self.waiting = 0.0
        self.waiting_memory = 0.0
        self.busy: list[tuple[float, float]] = []
        self.held: Counter[str] = Counter()

    @property
    def memory_per_core(self) -> float:
        """Return the MB that the waiting tasks need for each core."""
        return self.waiting_memory / self.waiting if self.waiting else 0.0


class JobWorks:
    """The remaining work of each active job, measured anew only after a change of it.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    job_index : JobIndex
        Index of the active jobs; it tells which have changed.
    run_times : RunTimeModel
        Learned run times.
    cfg : AdmissionSettings
        The settings.
    """

    __slots__ = (
        "_cfg",
        "_entries",
        "_job_index",
        "_plan",
        "_run_times",
        "_state",
        "queues",
    )

    def __init__(
        self,
        *,
        state: JobsState,
        job_index: JobIndex,
        run_times: RunTimeModel,
        cfg: AdmissionSettings,
    ) -> None:
        self._state = state
        self._plan = state.plan
        self._job_index = job_index
        self._run_times = run_times
        self._cfg = cfg
        self._entries: dict[str, _Entry] = {}
        self.queues: dict[str, QueueWork] = defaultdict(QueueWork)
        # Jobs that have ended not long ago tell what the jobs of a queue are like.
        job_index.changed = set(state.jobs)

    def work_of(self, job: JobRecord) -> JobWork:
        """Return the work of a job."""
        return measure_work(job, self._expected(job.spec.queue))

    def work_of_spec(self, spec: JobSpec) -> tuple[float, float]:
        """Return the work and the critical path of a job that has not begun."""
        return measure_steps(spec.steps, self._expected(spec.queue))

    def _expected(self, queue: str) -> Callable[[timedelta], timedelta]:
        correction = self._cfg.max_correction
        return partial(self._run_times.mean, queue, max_correction=correction)

    def refresh(self) -> None:
        """Measure the jobs that have changed since the last call."""
        changed, self._job_index.changed = self._job_index.changed, set()
        if self._plan is not self._state.plan:
            self._plan = self._state.plan
            changed.update(self._entries)
        for job_id in changed:
            job = self._state.jobs.get(job_id)
            known = self._entries.pop(job_id, None)
            if job is None or any(step.is_long_running for step in job.spec.steps):
                continue
            is_active = self._job_index.is_active(job_id)
            if known is not None and not is_active:
                continue
            work = self.work_of(job)
            if known is None:
                self.queues[job.spec.queue].record(work.total)
            if is_active:
                self._entries[job_id] = self._entry(job, work)

    def _entry(self, job: JobRecord, work: JobWork) -> _Entry:
        due_ms, _ = self._job_index.deadlines(job.spec, job.accepted_ms)
        if job.spec.repetition is not None:
            due_ms = float("-inf")
        return _Entry(
            job_id=job.spec.job_id,
            queue=job.spec.queue,
            customer=job.spec.customer,
            priority=self._job_index.priority_of(job.spec),
            due_ms=due_ms,
            max_path_ms=MAX_PATH_SHARE * (due_ms - job.accepted_ms),
            work=work,
        )

    def by_pool(
        self, now_ms: int, vms_of: Callable[[str], set[str]]
    ) -> dict[str, PoolWork]:
        """Return the work of each pool with active jobs.

        Parameters
        ----------
        now_ms : int
            Unix time.
        vms_of : callable
            Returns the VMs of a pool whose running tasks count.
        """
        pools: dict[str, PoolWork] = defaultdict(PoolWork)
        pool_of_queue: dict[str, str] = {}
        for entry in self._entries.values():
            pool = pool_of_queue.get(entry.queue)
            if pool is None:
                job = self._state.jobs[entry.job_id]
                pool = pool_of_queue[entry.queue] = self._job_index.pool_of(job)
            self._add(pools[pool], entry, now_ms, vms_of(pool))
        return pools

    def _add(self, pool: PoolWork, entry: _Entry, now_ms: int, vms: set[str]) -> None:
        work = entry.work
        remaining = work.waiting
        for run in work.running:
            if run.vm_id in vms:
                left_ms = run.remaining_ms(now_ms)
                pool.busy.append((left_ms, run.cores))
                pool.held[entry.customer] += run.cores
                remaining += left_ms * run.cores
        due_in_ms = entry.due_ms - now_ms
        shortest_ms = ON_TIME_ESTIMATE_SHARE * work.path_ms
        if work.waiting <= 0 or shortest_ms > due_in_ms:
            return
        pool.waiting += work.waiting
        pool.waiting_memory += work.waiting_memory
        queue = self.queues[entry.queue]
        pool.jobs.append(
            CompetingJob(
                job_id=entry.job_id,
                customer=entry.customer,
                priority=entry.priority,
                due_in_ms=due_in_ms,
                path_ms=max(
                    shortest_ms,
                    min(self._cfg.path_margin * work.path_ms, entry.max_path_ms),
                ),
                waiting=work.waiting,
                credit=queue.credit(work.total),
                is_kept=work.has_begun
                and remaining <= self._cfg.nearly_done * work.total,
                is_large=queue.is_large(work.total),
            )
        )
