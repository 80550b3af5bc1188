"""The jobs of a pool that finish in time together."""

import heapq
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

import msgspec

__all__ = ["SHARE_TOLERANCE", "CompetingJob", "JobSelection"]

# Rounding doesn't put a customer over its share.
SHARE_TOLERANCE = 1.001


class CompetingJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job that can still finish in time, and has tasks that wait.

    Attributes
    ----------
    priority : int
        Priority of its queue; 0 goes first.
    due_ms : float
        Unix time at which it is due.
    path_ms : float
        Time that the critical path of its open steps needs at least.
    waiting : float
        Work of its waiting tasks, in core-ms.
    credit : float
        What it is worth to its caller if it finishes in time.
    is_kept : bool
        Whether it must not be deferred, since little of it remains.
    is_large : bool
        Whether it is among the largest jobs of its queue.
    """

    job_id: str
    customer: str
    priority: int
    due_ms: float
    path_ms: float
    waiting: float
    credit: float
    is_kept: bool = False
    is_large: bool = False


class JobSelection:
    """The jobs that finish in time together, chosen in the order in which they go.

    Parameters
    ----------
    jobs : sequence of CompetingJob
        All jobs, in this order.
    rates : sequence of float
        Cores that the waiting tasks of each need on average until it is due.
    held, shares : mapping of str to float
        Cores in use, and the share, by customer.
    protected : collection of str
        Jobs that are not deferred.

    Attributes
    ----------
    load : float
        Work of the waiting tasks of the chosen jobs, in core-ms.
    chosen, deferred : dict of int to None, list of int
        Numbers of the chosen and of the deferred jobs.
    """

    __slots__ = (
        "_heaps",
        "_job_rates",
        "_jobs",
        "_limits",
        "_priority",
        "_protected",
        "_rates",
        "_tops",
        "_tops_over",
        "_works",
        "_worth",
        "chosen",
        "deferred",
        "load",
    )

    def __init__(
        self,
        jobs: Sequence[CompetingJob],
        rates: Sequence[float],
        *,
        held: Mapping[str, float],
        shares: Mapping[str, float],
        protected: Collection[str],
    ) -> None:
        self._jobs = jobs
        self._job_rates = rates
        self._protected = protected
        self._rates: dict[str, float] = {**dict.fromkeys(shares, 0.0), **held}
        self._limits = {name: SHARE_TOLERANCE * part for name, part in shares.items()}
        self._priority: int | None = None
        # Work of the chosen jobs of the present priority that may be deferred: by
        # credit per core-second, and by customer.
        self._worth = _WorkByWorth(jobs)
        self._works: dict[str, float] = defaultdict(float)
        # By customer, the jobs of the present priority that may be deferred.
        self._heaps: dict[str, list[tuple[float, int]]] = {}
        # The first jobs of all customers' heaps, and of those over their share. Entries
        # of jobs that are no longer first remain until they are popped.
        self._tops: list[tuple[float, int, str]] = []
        self._tops_over: list[tuple[float, int, str]] = []
        self.load = 0.0
        self.chosen: dict[int, None] = {}
        self.deferred: list[int] = []

    def add(self, number: int, bound: float) -> None:
        """Choose a job, and defer jobs until all chosen ones finish in time.

        Parameters
        ----------
        number : int
            Number of the job.
        bound : float
            The most work that may be done until its end, in core-ms.
        """
        job = self._jobs[number]
        if job.priority != self._priority:
            # A job is never deferred in favour of one of a lower priority.
            self._priority = job.priority
            self._heaps, self._tops, self._tops_over = {}, [], []
            self._worth = _WorkByWorth(self._jobs)
            self._works.clear()
        waiting = job.waiting
        is_fixed = job.is_kept or job.job_id in self._protected
        if waiting > bound and not is_fixed:
            self.deferred.append(number)
            return
        self.load += waiting
        self.chosen[number] = None
        customer = job.customer
        excess = self.load - bound
        if excess > 0 and not is_fixed and excess > self._work_before(number):
            # It would be deferred after all that goes before it.
            self.load -= waiting
            del self.chosen[number]
            self.deferred.append(number)
            return
        was_over = self._rates[customer] > self._limits[customer]
        self._rates[customer] += self._job_rates[number]
        is_first = False
        if not is_fixed:
            self._count(number, waiting)
            heap = self._heaps.setdefault(customer, [])
            entry = (job.credit / waiting, number)
            heapq.heappush(heap, entry)
            is_first = heap[0] is entry
        if is_first or not was_over:
            self._note_first(customer, is_new=is_first)
        if waiting > bound:
            # Deferring others doesn't make it fit.
            return
        n_before = len(self.deferred)
        while self.load > bound and self._heaps:
            self._defer_one()
            if self.deferred[-1] == number:
                # The others finish in time without it.
                given_up = self.deferred[n_before:-1]
                self.deferred[n_before:] = [number]
                for other in given_up:
                    self._restore(other)
                break

    def _count(self, number: int, work: float) -> None:
        """Count work of a chosen job that may be deferred."""
        self._worth.add(number, work)
        self._works[self._jobs[number].customer] += work

    def _work_before(self, number: int) -> float:
        """Return the most work that may be deferred before a job is."""
        customer = self._jobs[number].customer
        work = self._worth.below(number)
        if self._rates[customer] + self._job_rates[number] <= self._limits[customer]:
            work += sum(
                other
                for name, other in self._works.items()
                if self._rates[name] > self._limits[name]
            )
        return work

    def _restore(self, number: int) -> None:
        """Choose a job again that was deferred."""
        job = self._jobs[number]
        self.load += job.waiting
        self._count(number, job.waiting)
        self.chosen[number] = None
        self._rates[job.customer] += self._job_rates[number]
        heap = self._heaps.setdefault(job.customer, [])
        entry = (job.credit / job.waiting, number)
        heapq.heappush(heap, entry)
        self._note_first(job.customer, is_new=heap[0] is entry)

    def _note_first(self, customer: str, *, is_new: bool) -> None:
        """Add the first job of a customer to the lists that it belongs to."""
        heap = self._heaps.get(customer)
        if not heap:
            return
        entry = (*heap[0], customer)
        if is_new:
            heapq.heappush(self._tops, entry)
        if self._rates[customer] > self._limits[customer]:
            heapq.heappush(self._tops_over, entry)

    def _defer_one(self) -> None:
        """Defer the job with the least credit per core-second, over a share if any."""
        while self._tops_over:
            _, number, customer = self._tops_over[0]
            heap = self._heaps.get(customer)
            is_over = self._rates[customer] > self._limits[customer]
            if heap and heap[0][1] == number and is_over:
                break
            heapq.heappop(self._tops_over)
        else:
            while True:
                _, number, customer = self._tops[0]
                heap = self._heaps.get(customer)
                if heap and heap[0][1] == number:
                    break
                heapq.heappop(self._tops)
        heapq.heappop(heap)
        job = self._jobs[number]
        self.load -= job.waiting
        self._count(number, -job.waiting)
        self._rates[customer] -= self._job_rates[number]
        del self.chosen[number]
        self.deferred.append(number)
        if heap:
            self._note_first(customer, is_new=True)
        else:
            del self._heaps[customer]


class _WorkByWorth:
    """Work of jobs by credit per core-second, with sums in logarithmic time.

    Parameters
    ----------
    jobs : sequence of CompetingJob
        All jobs; their numbers are the places in it.
    """

    __slots__ = ("_ranks", "_sums")

    def __init__(self, jobs: Sequence[CompetingJob]) -> None:
        order = sorted(
            range(len(jobs)), key=lambda i: (jobs[i].credit / jobs[i].waiting, i)
        )
        self._ranks = [0] * len(jobs)
        for rank, number in enumerate(order, start=1):
            self._ranks[number] = rank
        # A Fenwick tree.
        self._sums = [0.0] * (len(jobs) + 1)

    def add(self, number: int, work: float) -> None:
        """Add work of a job, in core-ms."""
        rank = self._ranks[number]
        while rank < len(self._sums):
            self._sums[rank] += work
            rank += rank & -rank

    def below(self, number: int) -> float:
        """Return the work of the jobs that are worth less than one, in core-ms."""
        rank = self._ranks[number] - 1
        total = 0.0
        while rank:
            total += self._sums[rank]
            rank &= rank - 1
        return total
