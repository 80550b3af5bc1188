"""An index of free slots, from which an endpoint is found without a scan."""

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
    """Free slots by service.

    The emptiest endpoint comes first, and among equals the one whose slots changed
    least recently, so that work spreads.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceIndex] = {}

    @property
    def n_free(self) -> int:
        """Free slots of all services."""
        return sum(index.n_free for index in self._services.values())

    def update(self, endpoint: Endpoint) -> int:
        """Put an endpoint in its bucket anew; return by how much it grew."""
        free = endpoint.count_free()
        change = free - endpoint.n_free
        if not change:
            return 0
        service = endpoint.last.service
        index = self._services.setdefault(service, _ServiceIndex())
        if endpoint.n_free:
            self._take_out(index, endpoint)
        endpoint.n_free = free
        if free:
            index.buckets.setdefault(free, {})[endpoint.endpoint_id] = endpoint
        index.n_free += change
        return change

    def remove(self, endpoint: Endpoint) -> None:
        """Take an endpoint out of the index."""
        index = self._services.get(endpoint.last.service)
        if index is None or not endpoint.n_free:
            return
        self._take_out(index, endpoint)
        index.n_free -= endpoint.n_free
        endpoint.n_free = 0

    def _take_out(self, index: _ServiceIndex, endpoint: Endpoint) -> None:
        bucket = index.buckets[endpoint.n_free]
        del bucket[endpoint.endpoint_id]
        if not bucket:
            del index.buckets[endpoint.n_free]

    def pick(self, shape: Shape, excluded: Collection[str] = ()) -> Endpoint | None:
        """Return an endpoint that can take a task of this shape now, or None."""
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
                if endpoint.vm.has_room(accelerators, memory_mb):
                    return endpoint
        return None
