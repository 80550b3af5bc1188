"""Keeping an endpoint free for a request that is larger than one slot.

Small requests take each slot as it falls free, so a large one would be passed for
ever. Once it has waited long enough, one endpoint takes nothing else until it fits.
"""

from datetime import timedelta

from ._capacity import PoolCapacity
from ._endpoints import Endpoint
from ._queue import Shape
from ._scheduler import Scheduler
from ._settings import DispatchSettings

__all__ = ["Reservation"]


class Reservation:
    """At most one endpoint of a pool that is kept free for a shape."""

    __slots__ = ("_capacity", "_cfg", "_endpoint", "_scheduler")

    def __init__(
        self, *, cfg: DispatchSettings, capacity: PoolCapacity, scheduler: Scheduler
    ) -> None:
        self._cfg = cfg
        self._capacity = capacity
        self._scheduler = scheduler
        self._endpoint: Endpoint | None = None

    def update(self, now: timedelta) -> None:
        """End a reservation that has no use any more, and begin one that is due."""
        endpoint = self._endpoint
        if endpoint is not None:
            is_wanted = self._scheduler.is_waited_for(endpoint.reserved_for)
            known = self._capacity.endpoints.get(endpoint.endpoint_id)
            if is_wanted and known is endpoint and endpoint.takes_work:
                return
            self.end(endpoint)
        shape = self._scheduler.passed_shape(now - self._cfg.reserve_after, now)
        if shape is None or self._capacity.slots.pick(shape) is not None:
            return
        self._endpoint = self._choose(shape)
        if self._endpoint is not None:
            self._endpoint.reserved_for = shape

    def end(self, endpoint: Endpoint) -> None:
        """Let an endpoint take other work again."""
        endpoint.reserved_for = None
        if endpoint is self._endpoint:
            self._endpoint = None

    def _choose(self, shape: Shape) -> Endpoint | None:
        """Return the endpoint with the most free slots that is large enough."""
        service, slots, accelerators, memory_mb = shape
        fitting = [
            e
            for e in self._capacity.endpoints.values()
            if e.last.service == service
            and e.health.state == "serving"
            and e.vm.takes_work
            and e.last.slots >= slots
            and e.vm.can_ever_hold(slots, accelerators, memory_mb)
        ]
        return max(fitting, key=Endpoint.count_free, default=None)
