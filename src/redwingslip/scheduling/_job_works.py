"""The remaining work of the active jobs, kept up to date for decisions on overload."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from datetime import timedelta
from functools import partial

import msgspec

from ..jobs import JobRecord, JobSpec, JobsState
from ..placement import (
    N_RECENT_JOBS,
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
# A new leader measures at most this many of the jobs that it finds at once; 3,000 took
# 52 ms.
MAX_FOUND_AT_ONCE = 500


class _Entry(msgspec.Struct, frozen=True):
    """An active job without long-running steps, and its work.

    Attributes
    ----------
    latest_ms : float
        Unix time until which it can still finish in time; -inf for a job that doesn't
        compete, since it has no waiting tasks or is repeated.
    expiry_ms : float
        Unix time from which its result has no more use; -inf as above.
    job : CompetingJob
        The job as it competes.
    """

    queue: str
    work: JobWork
    latest_ms: float
    expiry_ms: float
    job: CompetingJob


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
    late : list of tuple of CompetingJob, float
        The jobs that can't finish in time any more, but before their expiry, with
        their remaining work in core-ms.
    """

    __slots__ = ("busy", "held", "jobs", "late", "waiting", "waiting_memory")

    def __init__(self) -> None:
        self.jobs: list[CompetingJob] = []
        self.waiting = 0.0
        self.waiting_memory = 0.0
        self.busy: list[tuple[float, float]] = []
        self.held: Counter[str] = Counter()
        self.late: list[tuple[CompetingJob, float]] = []

    def late_turns(self, first: int, over: Collection[str]) -> dict[str, int]:
        """Return the turns of the late jobs from a first one on, the shortest first.

        By due time, each would start just before its expiry, and few would end by it.
        Those of customers over their share go after the others.
        """
        ordered = sorted(
            (job.priority, job.customer in over, remaining, job.job_id)
            for job, remaining in self.late
        )
        return {job_id: first + place for place, (*_, job_id) in enumerate(ordered)}

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
        "_found",
        "_job_index",
        "_plan",
        "_recorded",
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
        self._found = _recent_jobs(state, job_index)
        self._recorded: set[str] = set()
        job_index.changed = set()

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
        # The jobs that a new leader finds are many, and are measured part by part.
        n_found = min(len(self._found), MAX_FOUND_AT_ONCE)
        changed.update(self._found.pop() for _ in range(n_found))
        for job_id in changed:
            self._entries.pop(job_id, None)
            job = self._state.jobs.get(job_id)
            if job is None:
                self._recorded.discard(job_id)
                continue
            is_active = self._job_index.is_active(job_id)
            is_new = job_id not in self._recorded
            if not (is_active or is_new) or _is_long_running(job):
                continue
            work = measure_work(job, self._expected(job.spec.queue))
            if is_new:
                self._recorded.add(job_id)
                self.queues[job.spec.queue].record(work.total)
            if is_active:
                self._entries[job_id] = self._entry(job, work)

    def _entry(self, job: JobRecord, work: JobWork) -> _Entry:
        spec, queue = job.spec, self.queues[job.spec.queue]
        due_ms, expiry_ms = self._job_index.deadlines(spec, job.accepted_ms)
        shortest_ms = ON_TIME_ESTIMATE_SHARE * work.path_ms
        path_ms = min(
            self._cfg.path_margin * work.path_ms,
            MAX_PATH_SHARE * (due_ms - job.accepted_ms),
        )
        competes = work.waiting > 0 and spec.repetition is None
        return _Entry(
            queue=spec.queue,
            work=work,
            latest_ms=due_ms - shortest_ms if competes else float("-inf"),
            expiry_ms=expiry_ms if competes else float("-inf"),
            job=CompetingJob(
                job_id=spec.job_id,
                customer=spec.customer,
                priority=self._job_index.priority_of(spec),
                due_ms=due_ms,
                path_ms=max(shortest_ms, path_ms),
                waiting=work.waiting,
                credit=queue.credit(work.total),
                is_large=queue.is_large(work.total),
            ),
        )

    def by_pool(
        self,
        now_ms: int,
        vms_of: Callable[[str], set[str]],
        speed_of: Callable[[str], float] = lambda vm_id: 1.0,
    ) -> dict[str, PoolWork]:
        """Return the work of each pool with active jobs.

        Parameters
        ----------
        now_ms : int
            Unix time.
        vms_of : callable
            Returns the VMs of a pool whose running tasks count.
        speed_of : callable
            Returns the speed of a VM, 1 for a normal one. A run on a slow one takes
            longer, and its cores do the work of fewer.
        """
        pools: dict[str, PoolWork] = defaultdict(PoolWork)
        pool_of_queue: dict[str, str] = {}
        for entry in self._entries.values():
            pool = pool_of_queue.get(entry.queue)
            if pool is None:
                job = self._state.jobs[entry.job.job_id]
                pool = pool_of_queue[entry.queue] = self._job_index.pool_of(job)
            self._add(pools[pool], entry, now_ms, vms_of(pool), speed_of)
        return pools

    def _add(
        self,
        pool: PoolWork,
        entry: _Entry,
        now_ms: int,
        vms: set[str],
        speed_of: Callable[[str], float],
    ) -> None:
        work, job = entry.work, entry.job
        remaining = work.waiting
        for run in work.running:
            if run.vm_id in vms:
                speed = speed_of(run.vm_id)
                left_ms = run.remaining_ms(now_ms, speed=speed)
                cores = speed * run.cores
                pool.busy.append((left_ms, cores))
                pool.held[job.customer] += cores
                remaining += left_ms * cores
        if now_ms > entry.latest_ms:
            if now_ms <= entry.expiry_ms:
                pool.late.append((job, remaining))
            return
        pool.waiting += work.waiting
        pool.waiting_memory += work.waiting_memory
        if work.has_begun and remaining <= self._cfg.nearly_done * work.total:
            job = msgspec.structs.replace(job, is_kept=True)
        pool.jobs.append(job)


def _is_long_running(job: JobRecord) -> bool:
    return any(step.is_long_running for step in job.spec.steps)


def _recent_jobs(state: JobsState, job_index: JobIndex) -> list[str]:
    """Return the active jobs, and those accepted last by each queue."""
    found = []
    n_by_queue: Counter[str] = Counter()
    for job_id, job in reversed(state.jobs.items()):
        n_by_queue[job.spec.queue] += 1
        if n_by_queue[job.spec.queue] <= N_RECENT_JOBS or job_index.is_active(job_id):
            found.append(job_id)
    return found
