"""Which jobs of a pool finish in time when the pool can't run all of them in time."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from operator import attrgetter

import msgspec

from ._capacity import CapacityPlan, divide_by_weight
from ._selection import SHARE_TOLERANCE, CompetingJob, JobSelection

__all__ = [
    "CompetingJob",
    "JobOrder",
    "LargeJobBudget",
    "order_jobs",
    "required_rates",
]

# Places of jobs in the order of a pool: jobs in time within the share of their customer
# have 0, then come deferred jobs of customers below their share, then jobs in time
# beyond a share, then the other deferred jobs, from `DEFERRED_TURN` on.
BELOW_SHARE_TURN, ABOVE_SHARE_TURN, DEFERRED_TURN = 1, 2, 3
# A job that is due sooner counts with the rate of one that is due within this time.
MIN_HORIZON_MS = 250.0
# Jobs that are due within this time of each other are due at the same time.
TIME_STEP_MS = 10.0
# The budget for large jobs grows to what it gains in this time at most, so that a long
# time without one is not followed by many.
MAX_BUDGET_MS = 2000.0


class JobOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The order of a pool's jobs while they can't all finish in time.

    Attributes
    ----------
    turns : dict of str to int
        Place of each job; jobs with the same one go by priority and due time.
    new_turns : dict of str to int
        By customer, the place of jobs that arrive before the next decision, if not 0.
    n_deferred : int
        Number of the jobs that are deferred.
    load : float
        Work of the waiting tasks of the jobs that are to finish in time, in core-ms.
    over : frozenset of str
        Customers that ask for more than their share.
    deferred : frozenset of str
        The jobs that are deferred.
    entitlements, demands : dict of str to float
        Cores that each customer may ask for before it is over its share, and cores
        that it asks for.
    """

    turns: dict[str, int] = msgspec.field(default_factory=dict)
    new_turns: dict[str, int] = msgspec.field(default_factory=dict)
    n_deferred: int = 0
    load: float = 0.0
    over: frozenset[str] = frozenset()
    deferred: frozenset[str] = frozenset()
    entitlements: dict[str, float] = msgspec.field(default_factory=dict)
    demands: dict[str, float] = msgspec.field(default_factory=dict)


class LargeJobBudget:
    """Lets the largest jobs of a pool run at a reduced rate under contention.

    By credit per core-second, they would be deferred for as long as it lasts. Each one
    that is protected is paid for from a budget that grows with time.

    Parameters
    ----------
    share : float
        Share of the pool's capacity.
    """

    __slots__ = ("_balance", "_share", "_updated_ms", "protected")

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = 0.0
        self._updated_ms: int | None = None
        self.protected: set[str] = set()

    def update(
        self, jobs: Sequence[CompetingJob], capacity: CapacityPlan, now_ms: int
    ) -> None:
        """Protect the large jobs that the budget pays for, the first due first.

        Parameters
        ----------
        jobs : sequence of CompetingJob
            The jobs of the pool.
        capacity : CapacityPlan
            Its capacity.
        now_ms : int
            Unix time.
        """
        rate = self._share * capacity.cores
        if self._updated_ms is None:
            self._balance = rate * MAX_BUDGET_MS
        else:
            gained = rate * max(0, now_ms - self._updated_ms)
            self._balance = min(self._balance + gained, rate * MAX_BUDGET_MS)
        self._updated_ms = now_ms
        self.protected.intersection_update([job.job_id for job in jobs])
        large = [job for job in jobs if job.is_large]
        for job in sorted(large, key=attrgetter("due_ms", "job_id")):
            (bound,) = _bounds([job], capacity, now_ms)
            if job.job_id in self.protected or job.waiting > bound:
                continue
            if self._balance <= 0:
                break
            self._balance -= job.waiting
            self.protected.add(job.job_id)


def order_jobs(
    jobs: Sequence[CompetingJob],
    *,
    now_ms: int,
    capacity: CapacityPlan,
    held: Mapping[str, float],
    weights: Mapping[str, float],
    limits: Mapping[str, float] | None = None,
    protected: Collection[str] = (),
) -> JobOrder:
    """Return the order of the jobs of one pool.

    As many jobs as can finish in time together go first, by priority and due time. When
    one would be late, the job with the least credit per remaining core-second of those
    before it and of itself is deferred (Moore and Hodgson), one of a customer over its
    share first. Without contention the order is empty.

    Parameters
    ----------
    jobs : sequence of CompetingJob
        The jobs.
    now_ms : int
        Unix time.
    capacity : CapacityPlan
        Capacity of the pool for waiting tasks.
    held : mapping of str to float
        Cores in use by running tasks, by customer.
    weights : mapping of str to float
        Weights of the customers; 1 for one that is missing.
    limits : mapping of str to float, optional
        Cores that customers may use at most.
    protected : collection of str
        Jobs that are not deferred.
    """
    ordered = sorted(jobs, key=attrgetter("priority", "due_ms", "job_id"))
    bounds = _bounds(ordered, capacity, now_ms)
    rates = required_rates(ordered, now_ms)
    demands: dict[str, float] = defaultdict(float, held)
    for job, rate in zip(ordered, rates, strict=True):
        demands[job.customer] += rate
    limits = limits or {}
    usable = {
        name: min(demand, limits.get(name, demand)) for name, demand in demands.items()
    }
    shares = divide_by_weight(capacity.cores, usable, weights)
    over = {name for name, part in shares.items() if demands[name] > part}
    # What a customer over its share gets for each unit of weight is open to all others.
    total_weight = sum(weights.get(name, 1.0) for name in shares)
    level = min(
        (shares[name] / weights.get(name, 1.0) for name in over),
        default=capacity.cores / total_weight if shares else 0.0,
    )
    entitlements = {
        name: max(part, level * weights.get(name, 1.0)) for name, part in shares.items()
    }
    load = 0.0
    for job, bound in zip(ordered, bounds, strict=True):
        load += job.waiting
        if load > bound:
            break
    else:
        return JobOrder(load=load, entitlements=entitlements, demands=dict(demands))
    selection = JobSelection(
        ordered, rates, held=held, shares=shares, protected=protected
    )
    for number, bound in enumerate(bounds):
        selection.add(number, bound)
    turns = {job.job_id: 0 for job in ordered}
    new_turns = {}
    if len(over) < len(demands):
        # Some customer is within its share, and must not wait for the others.
        chosen = [
            (ordered[number], rates[number]) for number in sorted(selection.chosen)
        ]
        turns |= _above_share(chosen, shares=shares, held=held, protected=protected)
        new_turns = dict.fromkeys(over, ABOVE_SHARE_TURN)
    deferred = [ordered[number] for number in selection.deferred]
    deferred.sort(key=lambda job: (job.priority, -job.credit / job.waiting))
    for place, job in enumerate(deferred):
        is_over = job.customer in over
        turns[job.job_id] = DEFERRED_TURN + place if is_over else BELOW_SHARE_TURN
    return JobOrder(
        turns=turns,
        new_turns=new_turns,
        n_deferred=len(deferred),
        load=selection.load,
        over=frozenset(over),
        deferred=frozenset([job.job_id for job in deferred]),
        entitlements=entitlements,
        demands=dict(demands),
    )


def required_rates(jobs: Iterable[CompetingJob], now_ms: float) -> list[float]:
    """Return the cores that each job needs on average to finish when it is due."""
    return [job.waiting / max(job.due_ms - now_ms, MIN_HORIZON_MS) for job in jobs]


def _bounds(
    jobs: Sequence[CompetingJob], capacity: CapacityPlan, now_ms: int
) -> list[float]:
    """Return, for each job, the most work that may be done until its end, in core-ms.

    Its own work is included, and it starts early enough for its critical path. If
    nothing can run before that start, deferring others doesn't help it to keep the
    margin, and only its end counts. Times are rounded down to `TIME_STEP_MS`.
    """
    works: dict[float, float] = {}
    bounds = []
    for job in jobs:
        due_in_ms = job.due_ms - now_ms
        due = due_in_ms // TIME_STEP_MS
        start = (due_in_ms - job.path_ms) // TIME_STEP_MS
        for step in (due, start):
            if step not in works:
                works[step] = capacity.work_by(step * TIME_STEP_MS)
        bound = works[due]
        if works[start] > 0 and not job.is_kept:
            bound = min(bound, works[start] + job.waiting)
        bounds.append(bound)
    return bounds


def _above_share(
    jobs: Sequence[tuple[CompetingJob, float]],
    *,
    shares: Mapping[str, float],
    held: Mapping[str, float],
    protected: Collection[str],
) -> dict[str, int]:
    """Return the turns of chosen jobs, with their rates, beyond a customer's share.

    They go after all jobs within a share and all of customers below theirs.
    """
    rates: dict[str, float] = defaultdict(float, held)
    turns = {}
    for job, rate in sorted(jobs, key=lambda pair: pair[0].job_id not in protected):
        if rates[job.customer] >= SHARE_TOLERANCE * shares[job.customer]:
            turns[job.job_id] = ABOVE_SHARE_TURN
        rates[job.customer] += rate
    return turns
