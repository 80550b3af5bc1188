"""The orders in which a pool's slots can be given out.

`WeightedFair` is the one in use; the others are the baselines that it is compared
with on the same arrivals.
"""

import math

from ._queue import TeamQueue, Waiting
from ._settings import PolicyName
from ._teams import TeamKey, TeamState

__all__ = ["FirstCome", "FixedPartition", "Policy", "WeightedFair", "make_policy"]


class WeightedFair:
    """The team that holds least for its share goes next; idle share is borrowed."""

    __slots__ = ()

    sets_late_aside = True

    def rank(self, item: Waiting) -> float:
        """Return the place of a request within its team: by deadline."""
        return item.deadline.total_seconds()

    def is_urgent(self, item: Waiting) -> bool:
        """Return whether a request goes before the others of its team."""
        return item.req.urgent

    def key(self, team: TeamState, queue: TeamQueue) -> TeamKey:
        """Return the place of a team among the teams that wait.

        Slots in use by share, and slot-seconds used lately where these are equal. The
        half slot keeps rounding from favouring large or small shares (Webster's
        method of apportionment).
        """
        return (team.n_slots_used + 0.5) / team.share, team.usage / team.share

    def max_slots(self, team: TeamState, *, n_slots: int, total_share: float) -> float:
        """Return how many slots a team may use at once."""
        return math.inf


class FirstCome(WeightedFair):
    """Requests go in the order of their arrival, whatever team they are of."""

    __slots__ = ()

    sets_late_aside = False

    def rank(self, item: Waiting) -> float:
        """Return the place of a request within its team: by arrival."""
        return item.number

    def is_urgent(self, item: Waiting) -> bool:
        """Return False: no request goes before another."""
        return False

    def key(self, team: TeamState, queue: TeamQueue) -> TeamKey:
        """Return the arrival number of the team's first request."""
        rank = queue.first_rank()
        return (math.inf if rank is None else rank, 0.0)


class FixedPartition(WeightedFair):
    """Each team may use its share of the slots and never more."""

    __slots__ = ()

    def max_slots(self, team: TeamState, *, n_slots: int, total_share: float) -> float:
        """Return the team's part of the slots, one at least."""
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
    """Return the policy of a name."""
    return _POLICIES[name]()
