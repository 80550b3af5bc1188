"""Lanes: the teams that wait for the same shape, in the order of the policy."""

import heapq
from collections.abc import Callable
from datetime import timedelta

from ._policy import Policy
from ._queue import Shape, TeamQueue
from ._teams import TeamKey, TeamState

__all__ = ["Lane"]


class Lane:
    """The teams with waiting requests of one shape, in the order of the policy.

    The heap is updated lazily. A key that has grown since it was pushed is corrected
    when it reaches the top of the heap. When a key has shrunk, `offer` pushes the team
    again and the older heap entry becomes invalid.
    """

    __slots__ = ("_heap", "_keys", "_policy", "n_waiting", "shape")

    def __init__(self, shape: Shape, policy: Policy) -> None:
        self.shape = shape
        self.n_waiting = 0
        self._policy = policy
        self._heap: list[tuple[TeamKey, str, TeamState]] = []
        self._keys: dict[str, TeamKey] = {}

    def offer(self, team: TeamState) -> None:
        """Insert a team into the order if it has waiting requests and is not parked."""
        queue = team.queues.get(self.shape)
        if queue is None or not queue.n_waiting or team.is_parked:
            return
        key = self._policy.key(team, queue)
        known_key = self._keys.get(team.name)
        if known_key is not None and known_key <= key:
            return
        self._keys[team.name] = key
        heapq.heappush(self._heap, (key, team.name, team))

    def rebuild(self, teams: list[TeamState]) -> None:
        """Rebuild the order of all teams after all keys have changed."""
        self._heap = []
        self._keys = {}
        for team in teams:
            self.offer(team)

    def next_team(
        self, is_blocked: Callable[[TeamState], bool], now: timedelta
    ) -> tuple[TeamKey, TeamState] | None:
        """Return the next team with its key, or None.

        A team that is blocked is parked: it leaves the lane until it is offered again.
        """
        heap = self._heap
        while heap:
            key, name, team = heap[0]
            if self._keys.get(name) != key:
                heapq.heappop(heap)
                continue
            queue = team.queues.get(self.shape)
            if queue is None or queue.head(now) is None:
                self._drop_first(name)
                continue
            if is_blocked(team):
                team.is_parked = True
                self._drop_first(name)
                continue
            current = self._policy.key(team, queue)
            if current > key:
                self._keys[name] = current
                heapq.heapreplace(heap, (current, name, team))
                continue
            return key, team
        return None

    def _drop_first(self, name: str) -> None:
        heapq.heappop(self._heap)
        self._keys.pop(name, None)

    def queue(self, team: TeamState) -> TeamQueue:
        """Return a team's queue of this lane's shape."""
        return team.queues[self.shape]
