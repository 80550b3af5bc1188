"""Whether a job that arrives in an overloaded pool is refused, and for how long."""

import bisect
import math
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from operator import attrgetter

import msgspec

from ._capacity import CapacityPlan
from ._demand_profile import DemandProfile
from ._overload import CompetingJob, JobOrder, required_rates
from ._selection import SHARE_TOLERANCE

__all__ = ["PoolOutlook", "Refusal", "spread_retry"]

# Callers come back within this share of the wait after its end.
RETRY_SPREAD = 0.5


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a job can't be accepted.

    Attributes
    ----------
    cause : str
        ``share`` if others would get less than their share for it, ``capacity`` if it
        would end after its expiry, ``deadline`` if accepted jobs would miss their
        deadlines for it, ``price`` if it is worth less for its work than the jobs that
        the pool can hold.
    ahead : float
        Work that goes before it, in core-ms.
    wait_ms : float
        Time until this work is done.
    """

    cause: str
    ahead: float
    wait_ms: float


class _Work:
    """Amounts of work by a sort key, and their sums.

    Parameters
    ----------
    entries : iterable of (key, float)
        Keys and amounts in core-ms.
    """

    __slots__ = ("_keys", "_sums")

    def __init__(self, entries: Iterable[tuple]) -> None:
        ordered = sorted(entries)
        self._keys = [key for key, _ in ordered]
        self._sums = [0.0, *accumulate(work for _, work in ordered)]

    def below(self, key: object) -> float:
        """Return the work with lower keys, in core-ms."""
        return self._sums[bisect.bisect_left(self._keys, key)]


NO_WORK = _Work(())


class PoolOutlook:
    """What goes before a job that arrives in a pool, as of the last decision.

    Parameters
    ----------
    jobs : sequence of CompetingJob
        The jobs that can finish in time and have waiting tasks.
    order : JobOrder or None
        Their order; None if they go by priority and due time.
    now_ms : int
        Unix time of the decision.
    capacity : CapacityPlan
        All capacity of the pool for waiting tasks, with what is on its way.
    limits : mapping of str to float
        Cores that customers may use at most.
    large_share : float
        Share of the capacity for the largest jobs.
    price : float, optional
        The least credit for a core-ms at which jobs of customers over their share are
        accepted, if it is known. Without it, only the expiry of a job counts.
    """

    __slots__ = (
        "_accepted",
        "_all",
        "_by_due",
        "_demands",
        "_displaced",
        "_entitlements",
        "_is_contended",
        "_is_shared",
        "_large",
        "_large_share",
        "_over",
        "_price",
        "_profile",
        "_since_ms",
        "capacity",
    )

    def __init__(
        self,
        jobs: Sequence[CompetingJob],
        order: JobOrder | None,
        *,
        now_ms: int,
        capacity: CapacityPlan,
        limits: Mapping[str, float],
        large_share: float,
        price: float | None = None,
    ) -> None:
        self.capacity = capacity
        self._since_ms = now_ms
        self._large_share = large_share
        self._large = sum(job.waiting for job in jobs if job.is_large)
        # Jobs that were accepted after the decision, with their work.
        self._accepted: list[tuple[float, tuple, float]] = []
        self._over = None if order is None else order.over
        self._entitlements = {} if order is None else order.entitlements
        self._demands = {} if order is None else dict(order.demands)
        self._price = price
        self._is_contended = order is not None and order.n_deferred > 0
        self._profile: DemandProfile | None = None
        if order is not None and price is not None:
            planned = (job for job in jobs if job.job_id not in order.deferred)
            self._profile = DemandProfile(planned, capacity, now_ms)
        self._is_shared = order is not None and bool(order.new_turns)
        works = _usable_work(jobs, limits, now_ms)
        self._all = sum(works)
        self._by_due = self._displaced = NO_WORK
        pairs = zip(jobs, works, strict=True)
        if order is None:
            self._by_due = _Work((_due_key(job), work) for job, work in pairs)
        else:
            # Work that gives way to a job of a higher priority, or worth more for it.
            self._displaced = _Work(
                ((-job.priority, job.credit / job.waiting), work)
                for job, work in pairs
                if job.customer in order.over and not job.is_kept
            )

    def note_accepted(self, job: CompetingJob) -> None:
        """Add a job that was accepted after the decision."""
        key = _due_key(job)
        self._accepted.append((job.credit / job.waiting, key, job.waiting))
        if self._profile is not None:
            self._profile.add(job)
            (rate,) = required_rates([job], self._since_ms)
            self._demands[job.customer] = self._demands.get(job.customer, 0.0) + rate
        if job.is_large:
            self._large += job.waiting

    def judge(
        self, job: CompetingJob, *, expiry_ms: float, now_ms: int
    ) -> Refusal | None:
        """Return why a job is refused; None if it is accepted.

        It is refused if it would end after its expiry, with all that goes before it.
        With a price, it is also refused if it is worth less, or if accepted jobs would
        miss their deadlines for it.

        Parameters
        ----------
        job : CompetingJob
            The job.
        expiry_ms : float
            Unix time from which its result has no more use.
        now_ms : int
            Unix time.
        """
        expiry_in_ms = expiry_ms - now_ms
        elapsed_ms = max(0, now_ms - self._since_ms)
        if self._is_within_share(job) or self._is_paid_as_large(job, expiry_in_ms):
            return None
        ahead = self._work_ahead(job)
        wait_ms = max(0.0, self.capacity.time_for(ahead) - elapsed_ms)
        end_ms = self.capacity.time_for(ahead + job.waiting) - elapsed_ms
        if max(end_ms, wait_ms + job.path_ms) > expiry_in_ms:
            cause = "share" if self._is_shared else "capacity"
            return Refusal(cause=cause, ahead=ahead, wait_ms=wait_ms)
        cause = self._planning_cause(job)
        if cause is None:
            return None
        # Callers that come back sooner find the same jobs planned.
        wait_ms = max(0.0, self.capacity.time_for(self._all) - elapsed_ms)
        return Refusal(cause=cause, ahead=self._all, wait_ms=wait_ms)

    def _planning_cause(self, job: CompetingJob) -> str | None:
        """Return why a job can't be planned to finish in time; None if it can."""
        if self._profile is None:
            return None
        if self._is_contended and job.credit / job.waiting < self._price:
            return "price"
        return None if self._profile.fits(job) else "deadline"

    def _is_within_share(self, job: CompetingJob) -> bool:
        if self._over is None:
            return False
        if self._profile is None:
            return job.customer not in self._over
        # A customer that is missing had no jobs at the last decision.
        entitled = self._entitlements.get(job.customer, math.inf)
        return self._demands.get(job.customer, 0.0) <= SHARE_TOLERANCE * entitled

    def _is_paid_as_large(self, job: CompetingJob, expiry_in_ms: float) -> bool:
        """Return whether the share of the large jobs is enough for one more of them."""
        if not job.is_large or self._over is None:
            return False
        budget = self._large_share * self.capacity.work_by(expiry_in_ms)
        return not self._large or self._large + job.waiting <= budget

    def _work_ahead(self, job: CompetingJob) -> float:
        density = job.credit / job.waiting
        due_key = _due_key(job)
        if self._over is None:
            later = sum(work for _, key, work in self._accepted if key < due_key)
            return self._by_due.below(due_key) + later
        displaced = self._displaced.below((-job.priority, density))
        denser = sum(work for other, _, work in self._accepted if other >= density)
        return self._all - displaced + denser


def _due_key(job: CompetingJob) -> tuple[int, float]:
    return job.priority, job.due_ms


def _usable_work(
    jobs: Sequence[CompetingJob], limits: Mapping[str, float], now_ms: int
) -> list[float]:
    """Return the work of each job, without what its customer's limit holds back.

    Such work waits for the customer's own runs, and takes no room from others.
    """
    if not limits:
        return [job.waiting for job in jobs]
    horizon_ms = max(map(attrgetter("due_ms"), jobs), default=now_ms) - now_ms
    counted: dict[str, float] = defaultdict(float)
    works = []
    for job in jobs:
        work = job.waiting
        limit = limits.get(job.customer)
        if limit is not None:
            work = max(0.0, min(work, limit * horizon_ms - counted[job.customer]))
            counted[job.customer] += work
        works.append(work)
    return works


def spread_retry(job_id: str, wait_ms: float, *, max_ms: float) -> int:
    """Return after how many whole seconds the caller of a refused job may try again.

    Callers that are refused together are spread over some time after the wait.

    Parameters
    ----------
    job_id : str
        The job.
    wait_ms : float
        Time until the work ahead of it is done.
    max_ms : float
        Longest time.
    """
    place = zlib.crc32(job_id.encode()) / 2**32
    spread_ms = max(1000.0, RETRY_SPREAD * min(wait_ms, max_ms))
    return max(1, round(min(max_ms, wait_ms + place * spread_ms) / 1000))
