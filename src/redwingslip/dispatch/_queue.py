"""Waiting requests: a heap with cheap removal, and the queue of a team."""

import heapq
from datetime import timedelta

from ..peers import PermitRequest

__all__ = ["LazyHeap", "Shape", "TeamQueue", "WaitingRequest"]

MIN_REMOVED_FOR_REBUILD = 64

Shape = tuple[str, int, int, int]


class WaitingRequest:
    """A request that waits for a permit.

    Attributes
    ----------
    req : PermitRequest
        The request.
    number : int
        Arrival number among the requests of the dispatcher.
    arrived, deadline : timedelta
        Monotonic times.
    shape : tuple
        Service, slots, accelerators and memory in MB that the request needs.
    work : float
        Expected slot-seconds.
    likely_start_by : timedelta
        Monotonic time; a request that starts later will probably miss its deadline.
    heap : LazyHeap or None
        The heap of its team's queue that holds it.
    is_waiting : bool
        False once the request was granted, refused or cancelled.
    is_deferred : bool
        Whether `Scheduler.defer` has set the request aside.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "heap",
        "is_deferred",
        "is_waiting",
        "likely_start_by",
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
        self.likely_start_by = self.deadline
        self.heap: LazyHeap | None = None
        self.is_waiting = True
        self.is_deferred = False


class LazyHeap:
    """A heap of waiting requests by rank, with lazy removal.

    A removal only counts the removed request, which stays in the heap until it reaches
    the top. Once more than half of the entries are removed ones the heap is rebuilt, so
    the amortised cost of a removal is constant.
    """

    __slots__ = ("_heap", "_n_removed")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, WaitingRequest]] = []
        self._n_removed = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, rank: float, waiting: WaitingRequest) -> None:
        """Add a waiting request."""
        heapq.heappush(self._heap, (rank, waiting.number, waiting))

    def first(self) -> WaitingRequest | None:
        """Return the request with the lowest rank, or None."""
        heap = self._heap
        while heap and not heap[0][2].is_waiting:
            heapq.heappop(heap)
            self._n_removed = max(self._n_removed - 1, 0)
        return heap[0][2] if heap else None

    def first_rank(self) -> float | None:
        """Return the lowest rank, or None."""
        return None if self.first() is None else self._heap[0][0]

    def pop(self) -> WaitingRequest | None:
        """Remove and return the request with the lowest rank, or None."""
        if self.first() is None:
            return None
        return heapq.heappop(self._heap)[2]

    def note_removed(self) -> None:
        """Count a request that no longer waits, and rebuild the heap if needed."""
        self._n_removed += 1
        if self._n_removed <= max(MIN_REMOVED_FOR_REBUILD, len(self._heap) // 2):
            return
        self._heap = [entry for entry in self._heap if entry[2].is_waiting]
        heapq.heapify(self._heap)
        self._n_removed = 0


class TeamQueue:
    """The waiting requests of one team and one shape.

    Urgent requests go first, then batch requests, then urgent requests that will
    probably miss their deadline even if they start immediately. To prevent starvation
    of batch requests, one of them goes after each `n_others_in_a_row` other requests
    once the first one has waited for `patience`.
    """

    __slots__ = (
        "_batch",
        "_head_heap",
        "_late",
        "_n_others_in_a_row",
        "_n_others_since_batch",
        "_patience",
        "_urgent",
        "n_waiting",
    )

    def __init__(self, *, n_others_in_a_row: int, patience: timedelta) -> None:
        self._urgent = LazyHeap()
        self._batch = LazyHeap()
        self._late = LazyHeap()
        self._head_heap = self._batch
        self._n_others_in_a_row = n_others_in_a_row
        self._patience = patience
        self._n_others_since_batch = 0
        self.n_waiting = 0

    def push(self, rank: float, waiting: WaitingRequest, *, urgent: bool) -> None:
        """Add a request."""
        heap = self._urgent if urgent else self._batch
        heap.push(rank, waiting)
        waiting.heap = heap
        self.n_waiting += 1

    def first_rank(self) -> float | None:
        """Return the lowest rank of the batch requests, or None.

        Only `FirstCome` needs it, which queues every request as a batch request.
        """
        return self._batch.first_rank()

    def head(self, now: timedelta) -> WaitingRequest | None:
        """Return the next request, or None."""
        self._demote_late(now)
        self._head_heap = self._choose_heap(now)
        return self._head_heap.first()

    def _demote_late(self, now: timedelta) -> None:
        """Move urgent requests that will probably be late to the heap of late ones."""
        waiting = self._urgent.first()
        while waiting is not None and waiting.likely_start_by < now:
            self._urgent.pop()
            self._late.push(waiting.deadline.total_seconds(), waiting)
            waiting.heap = self._late
            waiting = self._urgent.first()

    def _choose_heap(self, now: timedelta) -> LazyHeap:
        """Return the heap whose first request goes next."""
        batch = self._batch.first()
        urgent = self._urgent.first()
        if batch is None:
            return self._late if urgent is None else self._urgent
        is_batch_overdue = now - batch.arrived >= self._patience
        if urgent is None or (
            is_batch_overdue and self._n_others_since_batch >= self._n_others_in_a_row
        ):
            return self._batch
        return self._urgent

    def pop(self) -> WaitingRequest:
        """Remove and return the request that `head` has returned."""
        self._n_others_since_batch = (
            0 if self._head_heap is self._batch else self._n_others_since_batch + 1
        )
        self.n_waiting -= 1
        return self._head_heap.pop()

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that was refused or cancelled."""
        waiting.heap.note_removed()
        self.n_waiting -= 1
