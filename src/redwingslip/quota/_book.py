"""What the planner of allotments keeps of each pool and each team."""

from datetime import timedelta

from ..peers import PoolDemand

__all__ = ["Book", "Demand", "Settling"]


class Demand:
    """The newest demand of a pool."""

    __slots__ = ("heard_at", "is_stale", "n_slots", "number", "teams")

    def __init__(self, msg: PoolDemand, number: int, now: timedelta) -> None:
        self.number = number
        self.is_stale = False
        self.heard_at = now
        self.n_slots = msg.n_slots
        self.teams = {team.team: team for team in msg.teams}


class Settling:
    """Since when a team's limit is in force, as this leader knows.

    Attributes
    ----------
    number : int
        Demands that came before; a time can't tell what came within one instant.
    is_over : bool
        Whether every pool has said what runs since.
    """

    __slots__ = ("is_over", "number", "since")

    def __init__(self, since: timedelta, number: int) -> None:
        self.since = since
        self.number = number
        self.is_over = False


class Book:
    """What all pools wish and hold of one team's limit, with the sums kept up.

    Attributes
    ----------
    wishes, running, held : dict
        By pool: what it could use, what runs there, and its allotment.
    n_wished, n_held : int
        Sums of wishes and allotments.
    n_excess : int
        Work that runs beyond the allotments, begun while there was no limit.
    planned_at : timedelta or None
        When the limit was last divided.
    """

    __slots__ = (
        "held",
        "n_excess",
        "n_held",
        "n_wished",
        "planned_at",
        "running",
        "wishes",
    )

    def __init__(self) -> None:
        self.wishes: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.held: dict[str, int] = {}
        self.n_wished = 0
        self.n_held = 0
        self.n_excess = 0
        self.planned_at: timedelta | None = None

    def _excess(self, pool: str) -> int:
        return max(self.running.get(pool, 0) - self.held.get(pool, 0), 0)

    def set_demand(self, pool: str, wish: int, n_running: int) -> None:
        """Take over what a pool wishes and runs."""
        self.n_wished += wish - self.wishes.get(pool, 0)
        self.n_excess -= self._excess(pool)
        _put(self.wishes, pool, wish)
        _put(self.running, pool, n_running)
        self.n_excess += self._excess(pool)

    def set_held(self, pool: str, count: int) -> None:
        """Take over a pool's allotment."""
        self.n_held += count - self.held.get(pool, 0)
        self.n_excess -= self._excess(pool)
        _put(self.held, pool, count)
        self.n_excess += self._excess(pool)

    def lack(self, pool: str) -> int:
        """Return what a pool wishes beyond its allotment."""
        return self.wishes.get(pool, 0) - self.held.get(pool, 0)


def _put(counts: dict[str, int], pool: str, count: int) -> None:
    """Set a count, keeping no zeros."""
    if count:
        counts[pool] = count
    else:
        counts.pop(pool, None)
