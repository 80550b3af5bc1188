"""Reservation of an endpoint for a request that needs more than a single slot.

Such a large request needs several slots, accelerators or a stated amount of memory.
Small requests take each slot as soon as it is free, so that they would starve a large
request. Once a large request has waited long enough, one endpoint gets no other tasks
until the large one fits.
"""

from datetime import timedelta

from ._capacity import PoolCapacity
from ._endpoints import Endpoint
from ._queue import Shape
from ._scheduler import Scheduler
from ._settings import DispatchSettings

__all__ = ["Reservation"]


class Reservation:
    """Reserves at most one endpoint of a pool for one shape."""

    __slots__ = ("_capacity", "_cfg", "_endpoint", "_scheduler")

    def __init__(
        self, *, cfg: DispatchSettings, capacity: PoolCapacity, scheduler: Scheduler
    ) -> None:
        self._cfg = cfg
        self._capacity = capacity
        self._scheduler = scheduler
        self._endpoint: Endpoint | None = None

    def update(self, now: timedelta) -> None:
        """End a reservation that is not needed, and begin one for a starved shape."""
        endpoint = self._endpoint
        if endpoint is not None:
            has_waiting = self._scheduler.has_waiting(endpoint.reserved_for)
            known = self._capacity.endpoints.get(endpoint.endpoint_id)
            if has_waiting and known is endpoint and endpoint.takes_work:
                return
            self.end(endpoint)
        shape = self._scheduler.starved_shape(now - self._cfg.reserve_after, now)
        if shape is None or self._capacity.slots.pick(shape) is not None:
            return
        self._endpoint = self._choose_endpoint(shape)
        if self._endpoint is not None:
            self._endpoint.reserved_for = shape

    def end(self, endpoint: Endpoint) -> None:
        """Let an endpoint take requests of any shape again."""
        endpoint.reserved_for = None
        if endpoint is self._endpoint:
            self._endpoint = None

    def _choose_endpoint(self, shape: Shape) -> Endpoint | None:
        """Return the large enough endpoint with the most free slots, or None."""
        service, slots, accelerators, memory_mb = shape
        candidates = [
            e
            for e in self._capacity.endpoints.values()
            if e.last_report.service == service
            and e.health.state == "serving"
            and e.vm.takes_work
            and e.last_report.slots >= slots
            and e.vm.can_ever_hold(slots, accelerators, memory_mb)
        ]
        return max(candidates, key=Endpoint.count_free_slots, default=None)
