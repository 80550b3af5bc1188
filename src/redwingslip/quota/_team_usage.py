"""What the allotment planner tracks for each pool and each team."""

from datetime import timedelta

from ..peers import PoolDemand

__all__ = ["LimitActivation", "ReportedDemand", "TeamUsage"]


class ReportedDemand:
    """The latest demand that a pool reported.

    Attributes
    ----------
    number : int
        Sequence number of the report over all pools.
    is_stale : bool
        Whether the report is so old that it no longer counts.
    received_at : timedelta
        Monotonic time at which the report arrived.
    n_slots : int
        Slots of the pool's endpoints that can take work.
    teams : dict of str to TeamDemand
        Demand by team.
    """

    __slots__ = ("is_stale", "n_slots", "number", "received_at", "teams")

    def __init__(self, msg: PoolDemand, number: int, now: timedelta) -> None:
        self.number = number
        self.is_stale = False
        self.received_at = now
        self.n_slots = msg.n_slots
        self.teams = {team.team: team for team in msg.teams}


class LimitActivation:
    """When a team's limit came into force, as far as this leader knows.

    Attributes
    ----------
    since : timedelta
        Monotonic time at which this leader learned that the limit is in force.
    number : int
        Number of demand reports received until then. Unlike a time, it separates the
        reports before `since` from those that arrive at the same instant.
    is_settled : bool
        Whether all work that started before the limit was in force is accounted for.
    """

    __slots__ = ("is_settled", "number", "since")

    def __init__(self, since: timedelta, number: int) -> None:
        self.since = since
        self.number = number
        self.is_settled = False


class TeamUsage:
    """Demand and allotments of one team over all pools, with running totals.

    Attributes
    ----------
    requested, running, allotted : dict of str to int
        By pool: the slots that the team could use, the number of its running requests,
        and its allotment. Pools with a count of 0 are left out.
    n_requested, n_allotted : int
        Totals of `requested` and `allotted`.
    n_excess : int
        Number of running requests beyond the allotments. They were started while the
        team had no limit.
    planned_at : timedelta or None
        Monotonic time at which the limit was last divided.
    """

    __slots__ = (
        "allotted",
        "n_allotted",
        "n_excess",
        "n_requested",
        "planned_at",
        "requested",
        "running",
    )

    def __init__(self) -> None:
        self.requested: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.allotted: dict[str, int] = {}
        self.n_requested = 0
        self.n_allotted = 0
        self.n_excess = 0
        self.planned_at: timedelta | None = None

    def _excess(self, pool: str) -> int:
        return max(self.running.get(pool, 0) - self.allotted.get(pool, 0), 0)

    def set_demand(self, pool: str, n_requested: int, n_running: int) -> None:
        """Update the requested slots and the running requests of a pool."""
        self.n_requested += n_requested - self.requested.get(pool, 0)
        self.n_excess -= self._excess(pool)
        _set_count(self.requested, pool, n_requested)
        _set_count(self.running, pool, n_running)
        self.n_excess += self._excess(pool)

    def set_allotted(self, pool: str, count: int) -> None:
        """Update the allotment of a pool."""
        self.n_allotted += count - self.allotted.get(pool, 0)
        self.n_excess -= self._excess(pool)
        _set_count(self.allotted, pool, count)
        self.n_excess += self._excess(pool)

    def shortfall(self, pool: str) -> int:
        """Return how many slots a pool requests beyond its allotment."""
        return self.requested.get(pool, 0) - self.allotted.get(pool, 0)


def _set_count(counts: dict[str, int], pool: str, count: int) -> None:
    """Set the count of a pool, or remove it if it is 0."""
    if count:
        counts[pool] = count
    else:
        counts.pop(pool, None)
