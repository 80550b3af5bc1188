"""The policies that order the grants of a pool's slots.

`WeightedFair` is the policy in use. The others are baselines: it is compared with them
on the same arrivals.
"""

import math

from ._queue import TeamQueue, WaitingRequest
from ._settings import PolicyName
from ._teams import TeamKey, TeamState

__all__ = ["FirstCome", "FixedPartition", "Policy", "WeightedFair", "make_policy"]


class WeightedFair:
    """Weighted fair sharing of the slots.

    The team that uses the fewest slots for its share goes next. Slots that one team
    leaves idle are lent to the others.

    Attributes
    ----------
    demotes_late : bool
        Whether urgent requests that will probably miss their deadline go last.
    """

    __slots__ = ()

    demotes_late = True

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the rank of a request within its team: its deadline."""
        return waiting.deadline.total_seconds()

    def is_urgent(self, waiting: WaitingRequest) -> bool:
        """Return whether a request goes before the others of its team."""
        return waiting.req.urgent

    def key(self, team: TeamState, queue: TeamQueue) -> TeamKey:
        """Return the sort key of a team among the teams that wait.

        It is the number of slots in use divided by the share. Ties are broken by the
        recently used slot-seconds divided by the share. The half slot keeps rounding
        from favouring large or small shares (Webster's method of apportionment).
        """
        return (team.n_slots_used + 0.5) / team.share, team.usage / team.share

    def max_slots(self, team: TeamState, *, n_slots: int, total_share: float) -> float:
        """Return how many slots a team may use at the same time."""
        return math.inf


class FirstCome(WeightedFair):
    """Requests are granted in the order of their arrival, regardless of their team."""

    __slots__ = ()

    demotes_late = False

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the rank of a request within its team: its arrival number."""
        return waiting.number

    def is_urgent(self, waiting: WaitingRequest) -> bool:
        """Return False: no request is preferred over another."""
        return False

    def key(self, team: TeamState, queue: TeamQueue) -> TeamKey:
        """Return the arrival number of the team's first request."""
        rank = queue.first_rank()
        return (math.inf if rank is None else rank, 0.0)


class FixedPartition(WeightedFair):
    """Each team may use its share of the slots and never borrows idle slots."""

    __slots__ = ()

    def max_slots(self, team: TeamState, *, n_slots: int, total_share: float) -> float:
        """Return the team's share of the slots, at least one."""
        if total_share <= 0:
            return math.inf
        return max(math.floor(n_slots * team.share / total_share), 1)


Policy = WeightedFair

_POLICIES = {
    PolicyName.WEIGHTED_FAIR: WeightedFair,
    PolicyName.FIRST_COME: FirstCome,
    PolicyName.FIXED_PARTITION: FixedPartition,
}


def make_policy(name: PolicyName) -> Policy:
    """Return a new policy of this name."""
    return _POLICIES[name]()
