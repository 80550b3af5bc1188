"""Granting of permits to waiting requests."""

from datetime import timedelta

from ..fleet import FleetView
from ..observe._events import EventName
from ..peers import PermitRequest, RefusalReason
from ._capacity import PoolCapacity
from ._endpoints import Endpoint
from ._grants import make_task
from ._outbox import Outbox
from ._outputs import Granted
from ._queue import Shape, WaitingRequest
from ._refusals import Refuser
from ._requests import RequestTable
from ._reservation import Reservation
from ._scheduler import Scheduler
from ._settings import DispatchSettings
from ._view_reader import ViewReader

__all__ = ["Granter"]


class Granter:
    """Grants the free slots of a pool to the waiting requests, in their order.

    Attributes
    ----------
    lease_ends_at : timedelta
        Monotonic time before which every granted call has to start.
    is_stopped : bool
        Whether granting was stopped, before a handover.
    """

    __slots__ = (
        "_capacity",
        "_cfg",
        "_epoch",
        "_n_permits",
        "_outbox",
        "_pool",
        "_reader",
        "_refuser",
        "_requests",
        "_reservation",
        "_scheduler",
        "_view",
        "is_stopped",
        "lease_ends_at",
    )

    def __init__(
        self,
        *,
        pool: str,
        epoch: int,
        cfg: DispatchSettings,
        view: FleetView,
        capacity: PoolCapacity,
        scheduler: Scheduler,
        requests: RequestTable,
        reader: ViewReader,
        refuser: Refuser,
        outbox: Outbox,
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._cfg = cfg
        self._view = view
        self._capacity = capacity
        self._scheduler = scheduler
        self._requests = requests
        self._reader = reader
        self._refuser = refuser
        self._outbox = outbox
        self._n_permits = 0
        self._reservation = Reservation(cfg=cfg, capacity=capacity, scheduler=scheduler)
        self.is_stopped = False
        self.lease_ends_at = timedelta(0)

    def _may_grant(self, now: timedelta) -> bool:
        if self.is_stopped or self._reader.is_replaced or not self._capacity.is_current:
            return False
        return self.lease_ends_at - now >= self._cfg.min_start_window

    def fill(self, now: timedelta) -> None:
        """Grant permits until no waiting request can be granted."""
        if not self._may_grant(now):
            return
        self._scheduler.requeue_deferred()
        self._reservation.update(now)
        while True:
            waiting = self._scheduler.next_request(self._has_free_slots, now)
            if waiting is None:
                return
            if self._scheduler.is_too_late(waiting, now):
                self._refuser.refuse_waiting(waiting, RefusalReason.TOO_LATE)
                continue
            endpoint = self._pick_endpoint(waiting)
            if endpoint is None:
                self._scheduler.defer(waiting)
                continue
            if self._capacity.is_unresponsive(endpoint, now):
                self.mark_unresponsive(endpoint)
                continue
            self._grant(waiting, endpoint, now)

    def _has_free_slots(self, shape: Shape) -> bool:
        return self._capacity.slots.pick(shape) is not None

    def _pick_endpoint(self, waiting: WaitingRequest) -> Endpoint | None:
        """Return an endpoint for a request, or None.

        An excluded endpoint is used only if no other endpoint of the service takes
        work.
        """
        excluded = waiting.req.excluded
        endpoint = self._capacity.slots.pick(waiting.shape, excluded)
        if endpoint is not None or not excluded:
            return endpoint
        others = (
            e
            for e in self._capacity.endpoints.values()
            if e.takes_work and e.last_report.service == waiting.req.service
        )
        if any(e.endpoint_id not in excluded for e in others):
            return None
        return self._capacity.slots.pick(waiting.shape)

    def task_lease(self, req: PermitRequest) -> timedelta:
        """Return how long the task of a request may run."""
        queue = self._view.queue(req.queue)
        return req.max_run if queue is None else min(req.max_run, queue.max_run)

    def _grant(
        self, waiting: WaitingRequest, endpoint: Endpoint, now: timedelta
    ) -> None:
        req = waiting.req
        self._scheduler.dequeue(waiting)
        start_window = min(self._cfg.start_window, self.lease_ends_at - now)
        self._n_permits += 1
        task = make_task(
            waiting,
            endpoint,
            pool=self._pool,
            epoch=self._epoch,
            number=self._n_permits,
            start_window=start_window,
            lease=self.task_lease(req),
            clock_margin=self._cfg.clock_margin,
            now=now,
        )
        known = self._requests.get(req.request_id)
        known.waiting = None
        known.task = task
        if endpoint.reserved_for == waiting.shape:
            self._reservation.end(endpoint)
        self._capacity.begin(endpoint, task, now)
        self._outbox.put(Granted(entry_id=req.entry_id, permit=task.permit))
        self._outbox.emit(
            EventName.PERMIT_GRANTED,
            request_id=req.request_id,
            team=req.team,
            queue=req.queue,
            endpoint_id=endpoint.endpoint_id,
            permit_id=task.permit_id,
        )

    def mark_unresponsive(self, endpoint: Endpoint) -> None:
        """Take an unresponsive endpoint out of service."""
        self._capacity.change_health(endpoint, endpoint.health.lose)
        self._outbox.emit(
            EventName.ENDPOINT_DOWN,
            endpoint_id=endpoint.endpoint_id,
            vm=endpoint.vm.record.name,
        )
