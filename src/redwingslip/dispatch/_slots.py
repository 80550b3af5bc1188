"""An index of free slots, which finds an endpoint without a scan of the pool."""

from collections.abc import Collection

from ._endpoints import Endpoint
from ._queue import Shape

__all__ = ["SlotIndex"]


class _ServiceIndex:
    """The endpoints of one service, in buckets by their number of free slots."""

    __slots__ = ("buckets", "n_endpoints", "n_free")

    def __init__(self) -> None:
        self.buckets: dict[int, dict[str, Endpoint]] = {}
        self.n_free = 0
        self.n_endpoints = 0


class SlotIndex:
    """Endpoints with free slots, by service.

    The endpoint with the most free slots comes first. Among equals it is the one whose
    slots changed least recently, so that work is spread over the endpoints.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceIndex] = {}

    @property
    def n_free(self) -> int:
        """Free slots of all services."""
        return sum(index.n_free for index in self._services.values())

    def update(self, endpoint: Endpoint) -> int:
        """Move an endpoint to its bucket; return the change in its free slots."""
        free = endpoint.count_free_slots()
        change = free - endpoint.n_free
        if not change:
            return 0
        service = endpoint.last_report.service
        index = self._services.setdefault(service, _ServiceIndex())
        if endpoint.n_free:
            self._remove_from_bucket(index, endpoint)
        endpoint.n_free = free
        if free:
            index.buckets.setdefault(free, {})[endpoint.endpoint_id] = endpoint
        index.n_free += change
        return change

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from the index."""
        index = self._services.get(endpoint.last_report.service)
        if index is None or not endpoint.n_free:
            return
        self._remove_from_bucket(index, endpoint)
        index.n_free -= endpoint.n_free
        endpoint.n_free = 0

    def _remove_from_bucket(self, index: _ServiceIndex, endpoint: Endpoint) -> None:
        bucket = index.buckets[endpoint.n_free]
        del bucket[endpoint.endpoint_id]
        if not bucket:
            del index.buckets[endpoint.n_free]

    def pick(self, shape: Shape, excluded: Collection[str] = ()) -> Endpoint | None:
        """Return an endpoint that can run a task of this shape, or None."""
        service, slots, accelerators, memory_mb = shape
        index = self._services.get(service)
        if index is None or index.n_free < slots:
            return None
        for free in sorted(index.buckets, reverse=True):
            if free < slots:
                return None
            for endpoint in index.buckets[free].values():
                if endpoint.endpoint_id in excluded:
                    continue
                if endpoint.reserved_for not in (None, shape):
                    continue
                if endpoint.vm.has_free_capacity(accelerators, memory_mb):
                    return endpoint
        return None
