"""Waiting requests: a heap with cheap removal, and one queue for each team."""

import heapq
from datetime import timedelta

from ..peers import PermitRequest

__all__ = ["LazyHeap", "Shape", "TeamQueue", "Waiting"]

N_DEAD_KEPT = 64

Shape = tuple[str, int, int, int]


class Waiting:
    """A request that waits for a slot.

    Attributes
    ----------
    req : PermitRequest
        What was asked.
    number : int
        Counts the requests of the dispatcher.
    arrived, deadline : timedelta
        Monotonic times.
    shape : tuple
        Service, slots, accelerators and memory that it needs.
    work : float
        Expected slot-seconds.
    is_waiting : bool
        False once it was granted, refused or cancelled.
    is_deferred : bool
        Whether it is set aside until slots have changed.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "is_deferred",
        "is_waiting",
        "number",
        "req",
        "shape",
        "work",
    )

    def __init__(
        self, req: PermitRequest, *, number: int, now: timedelta, work: float
    ) -> None:
        self.req = req
        self.number = number
        self.arrived = now
        self.deadline = now + req.deadline
        self.shape: Shape = (
            req.service,
            max(req.slots, 1),
            req.accelerators,
            req.memory_mb,
        )
        self.work = work
        self.is_waiting = True
        self.is_deferred = False


class LazyHeap:
    """Waiting requests by rank; removed ones are dropped when they come up.

    Removing costs nothing but a count. Once more than half are dead the heap is
    rebuilt, so the cost for each removal stays constant on average.
    """

    __slots__ = ("_heap", "_n_dead")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiting]] = []
        self._n_dead = 0

    def push(self, rank: float, item: Waiting) -> None:
        """Add a waiting request."""
        heapq.heappush(self._heap, (rank, item.number, item))

    def first(self) -> Waiting | None:
        """Return the request of the lowest rank, or None."""
        heap = self._heap
        while heap and not heap[0][2].is_waiting:
            heapq.heappop(heap)
            self._n_dead = max(self._n_dead - 1, 0)
        return heap[0][2] if heap else None

    def first_rank(self) -> float | None:
        """Return the lowest rank, or None."""
        return None if self.first() is None else self._heap[0][0]

    def pop(self) -> Waiting | None:
        """Remove and return the request of the lowest rank."""
        if self.first() is None:
            return None
        return heapq.heappop(self._heap)[2]

    def note_dead(self) -> None:
        """Count one request that no longer waits."""
        self._n_dead += 1
        if self._n_dead <= max(N_DEAD_KEPT, len(self._heap) // 2):
            return
        self._heap = [entry for entry in self._heap if entry[2].is_waiting]
        heapq.heapify(self._heap)
        self._n_dead = 0


class TeamQueue:
    """The requests of one team and one shape.

    Urgent ones go first, but after `n_in_a_row` urgent grants one batch request
    goes, so that batch work is never starved.
    """

    __slots__ = ("_batch", "_n_in_a_row", "_n_urgent", "_urgent", "n_waiting")

    def __init__(self, *, n_in_a_row: int) -> None:
        self._urgent = LazyHeap()
        self._batch = LazyHeap()
        self._n_in_a_row = n_in_a_row
        self._n_urgent = 0
        self.n_waiting = 0

    def push(self, rank: float, item: Waiting, *, urgent: bool) -> None:
        """Add a request."""
        heap = self._urgent if urgent else self._batch
        heap.push(rank, item)
        self.n_waiting += 1

    def _heap(self) -> LazyHeap:
        batch_is_due = self._n_urgent >= self._n_in_a_row
        if self._urgent.first() is None:
            return self._batch
        if batch_is_due and self._batch.first() is not None:
            return self._batch
        return self._urgent

    def head(self) -> Waiting | None:
        """Return the request that goes next, or None."""
        return self._heap().first()

    def pop(self) -> Waiting:
        """Take the request that goes next."""
        heap = self._heap()
        self._n_urgent = self._n_urgent + 1 if heap is self._urgent else 0
        self.n_waiting -= 1
        return heap.pop()

    def note_dead(self, *, urgent: bool) -> None:
        """Count one request that was refused or cancelled."""
        heap = self._urgent if urgent else self._batch
        heap.note_dead()
        self.n_waiting -= 1
