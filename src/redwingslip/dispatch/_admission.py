"""Whether a request may wait at all, and when to ask again if not."""

from datetime import timedelta
from random import Random

from ..fleet import FleetView
from ..peers import RefusalReason
from ._capacity import PoolCapacity
from ._judgement import FailureJudge
from ._queue import Waiting
from ._scheduler import Scheduler
from ._settings import DispatchSettings

__all__ = ["Admission"]

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 60.0


class Admission:
    """Refuses at once what can't be granted in time."""

    __slots__ = ("_capacity", "_cfg", "_judge", "_rng", "_scheduler", "_view")

    def __init__(
        self,
        *,
        cfg: DispatchSettings,
        view: FleetView,
        capacity: PoolCapacity,
        scheduler: Scheduler,
        judge: FailureJudge,
        rng: Random,
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._capacity = capacity
        self._scheduler = scheduler
        self._judge = judge
        self._rng = rng

    def refusal(self, item: Waiting) -> RefusalReason | None:
        """Return why a request is refused on arrival, or None."""
        req = item.req
        team = self._scheduler.team(req.team)
        if not self._capacity.can_ever_hold(item.shape):
            return RefusalReason.NO_CAPACITY
        if self._judge.is_unrunnable(req, self._capacity.endpoints):
            return RefusalReason.UNRUNNABLE
        if self._view.team(req.team).limit == 0:
            return RefusalReason.OVER_LIMIT
        if team.n_waiting >= team.max_waiting:
            return RefusalReason.QUEUE_FULL
        if self._cfg.early_refusal and self._is_hopeless(item):
            return RefusalReason.TOO_LATE
        return None

    def _is_hopeless(self, item: Waiting) -> bool:
        """Return whether a request can't be answered by its deadline."""
        req = item.req
        shortest = self._scheduler.run_times.shortest(req.team, req.queue)
        time_left = req.deadline.total_seconds() - shortest
        if time_left < 0:
            return True
        if self._capacity.n_slots == 0:
            return False
        team = self._scheduler.team(req.team)
        wait = self._scheduler.expected_wait(team, item)
        return wait > time_left * self._cfg.refusal_slack

    def retry_after(self, item: Waiting, reason: RefusalReason) -> timedelta:
        """Return when asking again may help, spread over some time."""
        if reason not in (RefusalReason.QUEUE_FULL, RefusalReason.TOO_LATE):
            return timedelta(0)
        team = self._scheduler.team(item.req.team)
        seconds = self._scheduler.drain_time(team) * self._rng.uniform(0.5, 1.5)
        bounded = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        return timedelta(seconds=bounded)
