"""The order of the waiting requests: teams, lanes and what each has used."""

from collections.abc import Callable
from datetime import timedelta

from ._lanes import Lane
from ._learning import RunTimes
from ._policy import FixedPartition, make_policy
from ._queue import LazyHeap, Shape, TeamQueue, Waiting
from ._settings import DispatchSettings
from ._tasks import Task
from ._teams import TeamKey, TeamState, UsageLedger

__all__ = ["Scheduler"]

PLAIN = (1, 0, 0)
"""One slot, no accelerator and no memory asked for."""


class Scheduler:
    """Keeps the waiting requests and says which goes next.

    Attributes
    ----------
    teams : dict
        Every team that had work here.
    n_waiting : int
        Requests that wait.
    n_slots, n_slots_unknown : int
        Set by the dispatcher; see `PoolCapacity`.
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
        self._deferred: list[Waiting] = []
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
        """Return a team's state, new if needed."""
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
        """Take over the pool's slots; teams at a limit are looked at again."""
        if (self.n_slots, self.n_slots_unknown) == (n_slots, n_slots_unknown):
            return
        self.n_slots = n_slots
        self.n_slots_unknown = n_slots_unknown
        self.unpark_all()

    def unpark(self, team: TeamState) -> None:
        """Let a team that was at its limit take part again."""
        if team.is_parked:
            team.is_parked = False
            self._parked.discard(team.name)
            self._offer(team)

    def unpark_all(self) -> None:
        """Let all teams take part again."""
        for name in list(self._parked):
            self.unpark(self.teams[name])

    def _offer(self, team: TeamState) -> None:
        for shape in team.queues:
            self._lanes[shape].offer(team)

    def is_blocked(self, team: TeamState, slots: int) -> bool:
        """Return whether a team may not start one more request now."""
        n_running = team.n_running + self.n_slots_unknown
        if team.limit is not None and n_running >= team.limit:
            return True
        if not isinstance(self._policy, FixedPartition):
            return False
        n_most = self._policy.max_slots(
            team, n_slots=self.n_slots, total_share=self.total_share
        )
        return team.n_slots_used + slots > n_most

    # Waiting requests.

    def make_waiting(self, req, *, number: int, now: timedelta) -> Waiting:
        """Return a request ready to wait, with its expected work."""
        seconds = self.run_times.expected(req.team, req.queue, req.expected_run)
        item = Waiting(req, number=number, now=now, work=seconds * max(req.slots, 1))
        if self._policy.sets_late_aside:
            likely = self.run_times.likely(req.team, req.queue)
            item.likely_until = item.deadline - timedelta(seconds=likely)
        return item

    def add(self, item: Waiting) -> None:
        """Let a request wait."""
        req = item.req
        team = self.team(req.team)
        if not team.n_waiting:
            self._active_share += team.share
        team.n_waiting += 1
        team.work.add(item, 1)
        self.n_waiting += 1
        self._expiry.push(self._latest_start(item), item)
        self._enqueue(team, item)

    def _latest_start(self, item: Waiting) -> float:
        """Return the time in seconds after which a request can't be in time."""
        deadline = item.deadline.total_seconds()
        if not self._cfg.early_refusal:
            return deadline
        return deadline - self.run_times.shortest(item.req.team, item.req.queue)

    def _enqueue(self, team: TeamState, item: Waiting) -> None:
        lane = self._lanes.get(item.shape)
        if lane is None:
            lane = self._lanes[item.shape] = Lane(item.shape, self._policy)
        queue = team.queues.get(item.shape)
        if queue is None:
            queue = TeamQueue(
                n_in_a_row=self._cfg.n_urgent_in_a_row,
                patience=self._cfg.batch_patience,
            )
            team.queues[item.shape] = queue
        urgent = self._policy.is_urgent(item)
        queue.push(self._policy.rank(item), item, urgent=urgent)
        lane.n_waiting += 1
        lane.offer(team)

    def remove(self, item: Waiting) -> None:
        """Drop a request that was cancelled or refused."""
        item.is_waiting = False
        team = self.teams[item.req.team]
        self._expiry.note_dead()
        if item.is_deferred:
            self._deferred.remove(item)
        else:
            queue = team.queues[item.shape]
            queue.remove(item)
            self._leave_lane(team, item.shape, queue)
        self._leave(team, item)

    def take(self, item: Waiting) -> None:
        """Take the request that goes next out of its queue."""
        team = self.teams[item.req.team]
        queue = team.queues[item.shape]
        queue.pop()
        item.is_waiting = False
        self._expiry.note_dead()
        self._leave_lane(team, item.shape, queue)
        self._leave(team, item)

    def _leave_lane(self, team: TeamState, shape: Shape, queue: TeamQueue) -> None:
        lane = self._lanes[shape]
        lane.n_waiting -= 1
        if not queue.n_waiting:
            del team.queues[shape]
        if not lane.n_waiting:
            del self._lanes[shape]

    def _leave(self, team: TeamState, item: Waiting) -> None:
        team.n_waiting -= 1
        team.work.add(item, -1)
        self.n_waiting -= 1
        if not team.n_waiting:
            self._active_share = max(self._active_share - team.share, 0.0)

    def defer(self, item: Waiting) -> None:
        """Set the request that goes next aside until slots have changed."""
        team = self.teams[item.req.team]
        queue = team.queues[item.shape]
        queue.pop()
        item.is_deferred = True
        self._deferred.append(item)
        self._leave_lane(team, item.shape, queue)

    def readmit(self) -> None:
        """Put the requests that were set aside back in their places."""
        deferred, self._deferred = self._deferred, []
        for item in deferred:
            item.is_deferred = False
            self._enqueue(self.teams[item.req.team], item)

    def next(self, has_room: Callable[[Shape], bool], now: timedelta) -> Waiting | None:
        """Return the request that goes next among the shapes that find room."""
        best: tuple[TeamKey, TeamState] | None = None
        best_lane: Lane | None = None
        for lane in self._lanes.values():
            if not has_room(lane.shape):
                continue
            found = lane.next_team(lambda t, n=lane.shape[1]: self._parks(t, n), now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
                best_lane = lane
        if best is None:
            return None
        return best_lane.queue(best[1]).head(now)

    def is_waited_for(self, shape: Shape) -> bool:
        """Return whether any request of a shape waits."""
        return shape in self._lanes

    def passed_shape(self, before: timedelta, now: timedelta) -> Shape | None:
        """Return a shape larger than one slot whose next request came long ago."""
        for lane in self._lanes.values():
            if lane.shape[1:] == PLAIN:
                continue
            found = lane.next_team(lambda t, n=lane.shape[1]: self._parks(t, n), now)
            if found is None:
                continue
            if lane.queue(found[1]).head(now).arrived <= before:
                return lane.shape
        return None

    def _parks(self, team: TeamState, slots: int) -> bool:
        if not self.is_blocked(team, slots):
            return False
        self._parked.add(team.name)
        return True

    def first_to_expire(self) -> Waiting | None:
        """Return the waiting request that is too late first, or None."""
        return self._expiry.first()

    def first_expired(self, now: timedelta) -> Waiting | None:
        """Return a request that can't be in time any more, or None."""
        rank = self._expiry.first_rank()
        if rank is None or rank > now.total_seconds():
            return None
        return self._expiry.first()

    def is_too_late(self, item: Waiting, now: timedelta) -> bool:
        """Return whether a run that starts now is surely not in time."""
        return now.total_seconds() >= self._latest_start(item)

    # Estimates.

    def expected_wait(self, team: TeamState, item: Waiting) -> float:
        """Return how many seconds of work go before a request.

        Its team is taken to get its share among the teams that wait now.
        """
        req = item.req
        ahead = team.work.ahead(urgent=req.urgent, patience=req.deadline)
        return self._seconds(team, ahead)

    def drain_time(self, team: TeamState) -> float:
        """Return in how many seconds the team's queue is worked off."""
        return self._seconds(team, team.work.total())

    def _seconds(self, team: TeamState, work: float) -> float:
        active = self._active_share + (0.0 if team.n_waiting else team.share)
        n_slots = self.n_slots * team.share / active
        if team.limit is not None:
            n_slots = min(n_slots, max(team.limit, 1))
        return work / max(n_slots, 0.125)

    # Usage.

    def count(self, task: Task, sign: int) -> None:
        """Count a task that begins (1) or has ended (-1) for its team."""
        team = self.team(task.team)
        team.n_running += sign
        team.n_slots_used += sign * task.slots
        if sign < 0:
            self.unpark(team)
            self._offer(team)

    def charge(self, team: TeamState, slot_seconds: float, now: timedelta) -> None:
        """Charge a team for slots, or pay back when negative."""
        if self._ledger.needs_rebase(now):
            teams = list(self.teams.values())
            self._ledger.rebase(teams, now)
            for lane in self._lanes.values():
                lane.rebuild(teams)
        self._ledger.charge(team, slot_seconds, now)
        if slot_seconds < 0:
            self._offer(team)
