"""Admission control: refusal of requests on arrival, and their retry times."""

from datetime import timedelta
from random import Random

from ..fleet import FleetView
from ..peers import RefusalReason
from ._capacity import PoolCapacity
from ._failures import FailureTracker
from ._queue import WaitingRequest
from ._scheduler import Scheduler
from ._settings import DispatchSettings

__all__ = ["Admission"]

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 60.0


class Admission:
    """Decides which requests are refused on arrival.

    A request is refused if the pool can't run it, if its team has no capacity left for
    waiting requests, or if it can't be answered by its deadline.
    """

    __slots__ = ("_capacity", "_cfg", "_failures", "_rng", "_scheduler", "_view")

    def __init__(
        self,
        *,
        cfg: DispatchSettings,
        view: FleetView,
        capacity: PoolCapacity,
        scheduler: Scheduler,
        failures: FailureTracker,
        rng: Random,
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._capacity = capacity
        self._scheduler = scheduler
        self._failures = failures
        self._rng = rng

    def refusal(self, waiting: WaitingRequest) -> RefusalReason | None:
        """Return why a request is refused on arrival, or None if it may wait."""
        req = waiting.req
        team = self._scheduler.team(req.team)
        if not self._capacity.can_ever_hold(waiting.shape):
            return RefusalReason.NO_CAPACITY
        if self._failures.is_unrunnable(req, self._capacity.endpoints):
            return RefusalReason.UNRUNNABLE
        if self._view.team(req.team).limit == 0:
            return RefusalReason.OVER_LIMIT
        if team.n_waiting >= team.max_waiting:
            return RefusalReason.QUEUE_FULL
        if self._cfg.early_refusal and self._would_be_late(waiting):
            return RefusalReason.TOO_LATE
        return None

    def _would_be_late(self, waiting: WaitingRequest) -> bool:
        """Return whether a request is not expected to be answered by its deadline.

        While no endpoint of the pool takes work, its wait can't be estimated and only
        the run time counts.
        """
        req = waiting.req
        shortest_seconds = self._scheduler.run_times.shortest_seconds(
            req.team, req.queue
        )
        time_left = req.deadline.total_seconds() - shortest_seconds
        if time_left < 0:
            return True
        if self._capacity.n_slots == 0:
            return False
        team = self._scheduler.team(req.team)
        wait = self._scheduler.expected_wait_seconds(team, waiting)
        return wait > time_left * self._cfg.refusal_slack

    def retry_after(self, waiting: WaitingRequest, reason: RefusalReason) -> timedelta:
        """Return after which time a retry may succeed, with jitter.

        It is 0 unless the queue is full or the request would be too late.
        """
        if reason not in (RefusalReason.QUEUE_FULL, RefusalReason.TOO_LATE):
            return timedelta(0)
        team = self._scheduler.team(waiting.req.team)
        seconds = self._scheduler.drain_seconds(team) * self._rng.uniform(0.5, 1.5)
        bounded = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        return timedelta(seconds=bounded)
