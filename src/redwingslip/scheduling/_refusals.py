"""Refuses jobs that would end after all use of their result."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta

from ..jobs import JobSpec
from ..observe import EventName
from ..placement import (
    AdmissionSettings,
    BidPrice,
    CompetingJob,
    PoolOutlook,
    Refusal,
    is_allowed,
    spread_retry,
)
from ._job_index import ON_TIME_ESTIMATE_SHARE, JobIndex, PoolBacklog
from ._job_works import JobWorks
from ._machines import MachineRegistry
from ._term import Term
from .exceptions import JobRefusedError, NotLeadingError

__all__ = ["JobGate"]

MS = timedelta(milliseconds=1)


class JobGate:
    """Decides on each job that arrives whether it is proposed to the log.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their agents.
    job_index : JobIndex
        Index of the jobs, which knows their queues.
    backlog : mapping of str to PoolBacklog
        Tasks that found no VM in the last round, by pool.
    works : JobWorks
        Work of the active jobs.
    cfg : AdmissionSettings
        The settings.
    """

    __slots__ = (
        "_backlog",
        "_cfg",
        "_job_index",
        "_machines",
        "_outlooks",
        "_prices",
        "_proposed",
        "_term",
        "_works",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        job_index: JobIndex,
        backlog: Mapping[str, PoolBacklog],
        works: JobWorks,
        cfg: AdmissionSettings,
    ) -> None:
        self._term = term
        self._machines = machines
        self._job_index = job_index
        self._backlog = backlog
        self._works = works
        self._cfg = cfg
        self._outlooks: Mapping[str, PoolOutlook] = {}
        self._prices: dict[str, BidPrice] = {}
        # Jobs that are being committed, or may be.
        self._proposed: set[str] = set()

    def update(self, outlooks: Mapping[str, PoolOutlook]) -> None:
        """Set the outlook of each pool that can't run all of its jobs in time."""
        self._outlooks = outlooks

    def price(self, pool: str, cores: float) -> float | None:
        """Return what a core-ms of a pool must bring; None if it is not decided by it.

        Parameters
        ----------
        pool : str
            The pool.
        cores : float
            Its cores.
        """
        if not self._cfg.protect or pool not in self._prices:
            return None
        return self._prices[pool].price(cores, self._term.now_ms())

    @contextmanager
    def submission(self, spec: JobSpec) -> Iterator[None]:
        """Check a job that is not known yet, and note it while it is being committed.

        A job whose outcome is not known is never refused later, since it may run.

        Raises
        ------
        JobRefusedError
            The job is refused, and never runs.
        """
        if spec.job_id not in self._proposed:
            self._check(spec)
            self._proposed.add(spec.job_id)
        try:
            yield
        except NotLeadingError:
            self._proposed.discard(spec.job_id)
            raise
        self._proposed.discard(spec.job_id)

    def _check(self, spec: JobSpec) -> None:
        try:
            refusal = self._judge(spec)
        except Exception as exc:
            detail = f"the decision on its admission failed: {exc!r}"
            self._term.emit(EventName.WARNING, request_id=spec.job_id, detail=detail)
            return
        if refusal is None:
            return
        pool = self._job_index.pool_of_spec(spec)
        retry_s = spread_retry(
            spec.job_id, refusal.wait_ms, max_ms=self._cfg.max_retry / MS
        )
        self._term.metrics.add_job_refusal(pool=pool, cause=refusal.cause)
        self._term.emit(
            EventName.JOB_REFUSED,
            request_id=spec.job_id,
            detail=f"{pool}, customer {spec.customer or 'none'}, {refusal.cause}: "
            f"{refusal.ahead / 1000:.1f} core-s ahead on "
            f"{self._outlooks[pool].capacity.cores:.1f} cores; retry in {retry_s} s",
        )
        raise JobRefusedError(
            f"{pool} can't run the job before its result is of no use",
            retry_after=timedelta(seconds=retry_s),
        )

    def _judge(self, spec: JobSpec) -> Refusal | None:
        """Return why a job is refused; None if it is proposed to the log."""
        if spec.repetition or any(step.is_long_running for step in spec.steps):
            return None
        if (spec.job_id, spec.customer) in self._term.state.early_cancels:
            return None
        now, now_ms = self._term.clock.monotonic(), self._term.now_ms()
        job, expiry_ms = self._competing(spec, now_ms)
        if job.waiting <= 0:
            return None
        pool = self._job_index.pool_of_spec(spec)
        if self._cfg.order and self._cfg.protect:
            self._record_arrival(pool, job, now_ms)
        outlook = self._outlooks.get(pool)
        if outlook is None or now - self._term.started_at < self._cfg.grace:
            return None
        # Another leader may have accepted the job meanwhile.
        if not self._term.is_leading():
            return None
        refusal = outlook.judge(job, expiry_ms=expiry_ms, now_ms=now_ms)
        if refusal is not None and self._has_free_vm(spec, pool, now):
            refusal = None
        if refusal is None:
            outlook.note_accepted(job)
        return refusal

    def _record_arrival(self, pool: str, job: CompetingJob, now_ms: int) -> None:
        if pool not in self._prices:
            window_ms = self._cfg.price_window / MS
            # Earlier arrivals of this term were of no use to a price.
            self._prices[pool] = BidPrice(window_ms, now_ms)
        self._prices[pool].record(job, now_ms)

    def _competing(self, spec: JobSpec, now_ms: int) -> tuple[CompetingJob, float]:
        """Return a job as it competes, and when its result has no more use."""
        work, path_ms = self._works.work_of_spec(spec)
        due_ms, expiry_ms = self._job_index.deadlines(spec, now_ms)
        queue = self._works.queues[spec.queue]
        job = CompetingJob(
            job_id=spec.job_id,
            customer=spec.customer,
            priority=self._job_index.priority_of(spec),
            due_ms=due_ms,
            path_ms=ON_TIME_ESTIMATE_SHARE * path_ms,
            waiting=work,
            credit=queue.credit(work),
            is_large=queue.is_large(work),
        )
        return job, expiry_ms

    def _has_free_vm(self, spec: JobSpec, pool: str, now: timedelta) -> bool:
        """Return whether a VM could run a first task of a job now.

        Room that tasks of the same size wait for is not free: the next round gives it
        to them.
        """
        needs = self._backlog[pool].needs if pool in self._backlog else ()
        first_steps = [
            (number, step)
            for number, step in enumerate(spec.steps)
            if not step.after and not any(need.fits(step.reserved) for need in needs)
        ]
        if not first_steps:
            return False
        ejected = self._machines.ejected_vms(now)
        for vm_id, agent in self._machines.agents.items():
            vm = agent.vm
            if vm.pool != pool or vm_id in ejected or not agent.is_ready(now):
                continue
            if not agent.is_responsive or self._machines.is_claimed(vm.machine):
                continue
            used, steps = self._term.state.usage.of_vm(vm_id)
            if any(
                step.reserved.fits(vm.capacity - used)
                and is_allowed(step, (spec.job_id, 0, number), vm.labels, steps)
                for number, step in first_steps
            ):
                return True
        return False
