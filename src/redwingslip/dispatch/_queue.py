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
    likely_until : timedelta
        When it must start to be likely to end by its deadline.
    heap : LazyHeap or None
        Where it waits.
    is_waiting : bool
        False once it was granted, refused or cancelled.
    is_deferred : bool
        Whether it is set aside until slots have changed.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "heap",
        "is_deferred",
        "is_waiting",
        "likely_until",
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
        self.likely_until = self.deadline
        self.heap: LazyHeap | None = None
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

    def __len__(self) -> int:
        return len(self._heap)

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

    Urgent ones go first, then batch ones, then urgent ones that are likely to end
    after their deadline wherever they start. So that batch work is never starved, one
    batch request goes after each `n_in_a_row` others once the first has waited for
    `patience`.
    """

    __slots__ = (
        "_batch",
        "_chosen",
        "_late",
        "_n_in_a_row",
        "_n_others",
        "_patience",
        "_urgent",
        "n_waiting",
    )

    def __init__(self, *, n_in_a_row: int, patience: timedelta) -> None:
        self._urgent = LazyHeap()
        self._batch = LazyHeap()
        self._late = LazyHeap()
        self._chosen = self._batch
        self._n_in_a_row = n_in_a_row
        self._patience = patience
        self._n_others = 0
        self.n_waiting = 0

    def push(self, rank: float, item: Waiting, *, urgent: bool) -> None:
        """Add a request."""
        heap = self._urgent if urgent else self._batch
        heap.push(rank, item)
        item.heap = heap
        self.n_waiting += 1

    def first_rank(self) -> float | None:
        """Return the lowest rank of the requests that are not urgent."""
        return self._batch.first_rank()

    def head(self, now: timedelta) -> Waiting | None:
        """Return the request that goes next, or None."""
        self._set_late_aside(now)
        self._chosen = self._choose(now)
        return self._chosen.first()

    def _set_late_aside(self, now: timedelta) -> None:
        item = self._urgent.first()
        while item is not None and item.likely_until < now:
            self._urgent.pop()
            self._late.push(item.deadline.total_seconds(), item)
            item.heap = self._late
            item = self._urgent.first()

    def _choose(self, now: timedelta) -> LazyHeap:
        batch = self._batch.first()
        urgent = self._urgent.first()
        if batch is None:
            return self._late if urgent is None else self._urgent
        is_due = now - batch.arrived >= self._patience
        if urgent is None or (is_due and self._n_others >= self._n_in_a_row):
            return self._batch
        return self._urgent

    def pop(self) -> Waiting:
        """Take the request that `head` has returned."""
        self._n_others = 0 if self._chosen is self._batch else self._n_others + 1
        self.n_waiting -= 1
        return self._chosen.pop()

    def remove(self, item: Waiting) -> None:
        """Count out a request that was refused or cancelled."""
        item.heap.note_dead()
        self.n_waiting -= 1
