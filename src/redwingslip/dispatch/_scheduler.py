"""The order of the waiting requests, by team, lane and past use of slots."""

from collections.abc import Callable
from datetime import timedelta

from ._lanes import Lane
from ._learning import RunTimes
from ._policy import FixedPartition, make_policy
from ._queue import LazyHeap, Shape, TeamQueue, WaitingRequest
from ._settings import DispatchSettings
from ._tasks import Task
from ._teams import TeamKey, TeamState, UsageLedger

__all__ = ["Scheduler"]

SINGLE_SLOT = (1, 0, 0)
"""Slots, accelerators and memory of a request for one slot and nothing else."""


class Scheduler:
    """Holds the waiting requests and selects the next one to be granted.

    Attributes
    ----------
    teams : dict
        State of each team that has been seen in this pool, by name.
    n_waiting : int
        Number of waiting requests, deferred ones included.
    n_slots, n_slots_unknown : int
        Slots of the pool; see `PoolCapacity`. Set by the dispatcher.
    run_times : RunTimes
        Run times learned for each team and queue.
    total_share : float
        Sum of the shares of all declared teams.
    """

    __slots__ = (
        "_active_share",
        "_cfg",
        "_deferred",
        "_expiry",
        "_lanes",
        "_ledger",
        "_parked",
        "_policy",
        "n_slots",
        "n_slots_unknown",
        "n_waiting",
        "run_times",
        "teams",
        "total_share",
    )

    def __init__(self, cfg: DispatchSettings) -> None:
        self._cfg = cfg
        self._policy = make_policy(cfg.policy)
        self._ledger = UsageLedger(half_life=cfg.half_life)
        self._lanes: dict[Shape, Lane] = {}
        self._parked: set[str] = set()
        self._deferred: list[WaitingRequest] = []
        self._expiry = LazyHeap()
        self._active_share = 0.0
        self.run_times = RunTimes(n_learning=cfg.n_learning)
        self.teams: dict[str, TeamState] = {}
        self.n_waiting = 0
        self.n_slots = 0
        self.n_slots_unknown = 0
        self.total_share = 0.0

    # Teams.

    def team(self, name: str) -> TeamState:
        """Return a team's state, and create it for a new team."""
        state = self.teams.get(name)
        if state is None:
            state = self.teams[name] = TeamState(name)
        return state

    def set_share(self, team: TeamState, share: float) -> None:
        """Change a team's weight."""
        if team.share == share:
            return
        if team.n_waiting:
            self._active_share += share - team.share
        team.share = share
        self._offer(team)

    def set_slots(self, *, n_slots: int, n_slots_unknown: int) -> None:
        """Set the pool's slots; if they have changed, unpark the teams at a limit."""
        if (self.n_slots, self.n_slots_unknown) == (n_slots, n_slots_unknown):
            return
        self.n_slots = n_slots
        self.n_slots_unknown = n_slots_unknown
        self.unpark_all()

    def unpark(self, team: TeamState) -> None:
        """Offer a team that was at its limit to its lanes again."""
        if team.is_parked:
            team.is_parked = False
            self._parked.discard(team.name)
            self._offer(team)

    def unpark_all(self) -> None:
        """Offer all teams that were at a limit to their lanes again."""
        for name in list(self._parked):
            self.unpark(self.teams[name])

    def _offer(self, team: TeamState) -> None:
        for shape in team.queues:
            self._lanes[shape].offer(team)

    def is_blocked(self, team: TeamState, slots: int) -> bool:
        """Return whether a limit keeps a team from starting one more request.

        Slots of unknown use count as if this team used all of them.
        """
        n_running = team.n_running + self.n_slots_unknown
        if team.limit is not None and n_running >= team.limit:
            return True
        if not isinstance(self._policy, FixedPartition):
            return False
        max_slots = self._policy.max_slots(
            team, n_slots=self.n_slots, total_share=self.total_share
        )
        return team.n_slots_used + slots > max_slots

    # Waiting requests.

    def make_waiting(self, req, *, number: int, now: timedelta) -> WaitingRequest:
        """Return a waiting request with its expected slot-seconds."""
        seconds = self.run_times.expected_seconds(req.team, req.queue, req.expected_run)
        waiting = WaitingRequest(
            req, number=number, now=now, work=seconds * max(req.slots, 1)
        )
        if self._policy.demotes_late:
            mean_seconds = self.run_times.mean_seconds(req.team, req.queue)
            waiting.likely_start_by = waiting.deadline - timedelta(seconds=mean_seconds)
        return waiting

    def add(self, waiting: WaitingRequest) -> None:
        """Add a waiting request to its team and lane."""
        req = waiting.req
        team = self.team(req.team)
        if not team.n_waiting:
            self._active_share += team.share
        team.n_waiting += 1
        team.work.add(waiting, 1)
        self.n_waiting += 1
        self._expiry.push(self._latest_start(waiting), waiting)
        self._enqueue(team, waiting)

    def _latest_start(self, waiting: WaitingRequest) -> float:
        """Return when a request must start at the latest, in monotonic seconds.

        With early refusal this is the deadline less the shortest learned run time.
        """
        deadline = waiting.deadline.total_seconds()
        if not self._cfg.early_refusal:
            return deadline
        return deadline - self.run_times.shortest_seconds(
            waiting.req.team, waiting.req.queue
        )

    def _enqueue(self, team: TeamState, waiting: WaitingRequest) -> None:
        lane = self._lanes.get(waiting.shape)
        if lane is None:
            lane = self._lanes[waiting.shape] = Lane(waiting.shape, self._policy)
        queue = team.queues.get(waiting.shape)
        if queue is None:
            queue = TeamQueue(
                n_others_in_a_row=self._cfg.n_urgent_in_a_row,
                patience=self._cfg.batch_patience,
            )
            team.queues[waiting.shape] = queue
        urgent = self._policy.is_urgent(waiting)
        queue.push(self._policy.rank(waiting), waiting, urgent=urgent)
        lane.n_waiting += 1
        lane.offer(team)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that was cancelled or refused."""
        waiting.is_waiting = False
        team = self.teams[waiting.req.team]
        self._expiry.note_removed()
        if waiting.is_deferred:
            self._deferred.remove(waiting)
        else:
            queue = team.queues[waiting.shape]
            queue.remove(waiting)
            self._remove_from_lane(team, waiting.shape, queue)
        self._subtract_waiting(team, waiting)

    def dequeue(self, waiting: WaitingRequest) -> None:
        """Remove the next request, which is granted, from its queue."""
        team = self.teams[waiting.req.team]
        queue = team.queues[waiting.shape]
        queue.pop()
        waiting.is_waiting = False
        self._expiry.note_removed()
        self._remove_from_lane(team, waiting.shape, queue)
        self._subtract_waiting(team, waiting)

    def _remove_from_lane(
        self, team: TeamState, shape: Shape, queue: TeamQueue
    ) -> None:
        lane = self._lanes[shape]
        lane.n_waiting -= 1
        if not queue.n_waiting:
            del team.queues[shape]
        if not lane.n_waiting:
            del self._lanes[shape]

    def _subtract_waiting(self, team: TeamState, waiting: WaitingRequest) -> None:
        team.n_waiting -= 1
        team.work.add(waiting, -1)
        self.n_waiting -= 1
        if not team.n_waiting:
            self._active_share = max(self._active_share - team.share, 0.0)

    def defer(self, waiting: WaitingRequest) -> None:
        """Set the next request aside until `requeue_deferred`.

        No endpoint that the request may use can run it at present.
        """
        team = self.teams[waiting.req.team]
        queue = team.queues[waiting.shape]
        queue.pop()
        waiting.is_deferred = True
        self._deferred.append(waiting)
        self._remove_from_lane(team, waiting.shape, queue)

    def requeue_deferred(self) -> None:
        """Put the deferred requests back into their queues."""
        deferred, self._deferred = self._deferred, []
        for waiting in deferred:
            waiting.is_deferred = False
            self._enqueue(self.teams[waiting.req.team], waiting)

    def next_request(
        self, has_free_slots: Callable[[Shape], bool], now: timedelta
    ) -> WaitingRequest | None:
        """Return the next request among the shapes that fit a free slot, or None.

        Parameters
        ----------
        has_free_slots : callable
            Returns whether an endpoint has free slots for a shape.
        now : timedelta
            Monotonic time.
        """
        best: tuple[TeamKey, TeamState] | None = None
        best_lane: Lane | None = None
        for lane in self._lanes.values():
            if not has_free_slots(lane.shape):
                continue
            candidate = lane.next_team(
                lambda t, n=lane.shape[1]: self._park_if_blocked(t, n), now
            )
            if candidate is not None and (best is None or candidate[0] < best[0]):
                best = candidate
                best_lane = lane
        if best is None:
            return None
        return best_lane.queue(best[1]).head(now)

    def has_waiting(self, shape: Shape) -> bool:
        """Return whether a request of this shape waits and is not deferred."""
        return shape in self._lanes

    def starved_shape(self, arrived_by: timedelta, now: timedelta) -> Shape | None:
        """Return a shape whose next request is starved, or None.

        A request is starved if it needs more than a single slot and arrived at
        `arrived_by` or before.
        """
        for lane in self._lanes.values():
            if lane.shape[1:] == SINGLE_SLOT:
                continue
            candidate = lane.next_team(
                lambda t, n=lane.shape[1]: self._park_if_blocked(t, n), now
            )
            if candidate is None:
                continue
            if lane.queue(candidate[1]).head(now).arrived <= arrived_by:
                return lane.shape
        return None

    def _park_if_blocked(self, team: TeamState, slots: int) -> bool:
        """Return whether a team is blocked, and record a blocked team as parked."""
        if not self.is_blocked(team, slots):
            return False
        self._parked.add(team.name)
        return True

    def first_to_expire(self) -> WaitingRequest | None:
        """Return the waiting request that must start first to be in time, or None."""
        return self._expiry.first()

    def first_expired(self, now: timedelta) -> WaitingRequest | None:
        """Return a request that can no longer end in time, or None."""
        rank = self._expiry.first_rank()
        if rank is None or rank > now.total_seconds():
            return None
        return self._expiry.first()

    def is_too_late(self, waiting: WaitingRequest, now: timedelta) -> bool:
        """Return whether a run that starts now can't end in time."""
        return now.total_seconds() >= self._latest_start(waiting)

    # Estimates.

    def expected_wait_seconds(self, team: TeamState, waiting: WaitingRequest) -> float:
        """Return the estimated wait of a request in seconds.

        The estimate assumes that its team gets its share of the slots among the teams
        that have waiting requests.
        """
        req = waiting.req
        ahead = team.work.ahead(urgent=req.urgent, time_left=req.deadline)
        return self._seconds_of_work(team, ahead)

    def drain_seconds(self, team: TeamState) -> float:
        """Return the estimated time in seconds until a team's queue is empty."""
        return self._seconds_of_work(team, team.work.total())

    def _seconds_of_work(self, team: TeamState, work: float) -> float:
        """Return how many seconds a team needs for some slot-seconds of work."""
        active = self._active_share + (0.0 if team.n_waiting else team.share)
        n_slots = self.n_slots * team.share / active
        if team.limit is not None:
            n_slots = min(n_slots, max(team.limit, 1))
        return work / max(n_slots, 0.125)

    # Usage.

    def count_task(self, task: Task, sign: int) -> None:
        """Count a task that begins (1) or has ended (-1) for its team."""
        team = self.team(task.team)
        team.n_running += sign
        team.n_slots_used += sign * task.slots
        if sign < 0:
            self.unpark(team)
            self._offer(team)

    def charge(self, team: TeamState, slot_seconds: float, now: timedelta) -> None:
        """Charge a team slot-seconds; a negative number is a refund."""
        if self._ledger.needs_rebase(now):
            teams = list(self.teams.values())
            self._ledger.rebase(teams, now)
            for lane in self._lanes.values():
                lane.rebuild(teams)
        self._ledger.charge(team, slot_seconds, now)
        if slot_seconds < 0:
            self._offer(team)
