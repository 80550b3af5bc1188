"""What a dispatcher knows of a team: its share, its limit and what it uses."""

from datetime import timedelta

from ._queue import Shape, TeamQueue, Waiting

__all__ = ["TeamKey", "TeamState", "UsageLedger", "WaitingWork"]

MAX_EXPONENT = 64.0
N_PATIENCE_CLASSES = 16

TeamKey = tuple[float, float]
"""The place of a team among those that wait: the lowest goes first."""


class TeamState:
    """A team in one pool.

    Attributes
    ----------
    share : float
        Weight against the other teams.
    limit : int or None
        Requests that may run in this pool at once; None for no limit.
    usage : float
        Decayed slot-seconds, in the unit of the ledger.
    n_running : int
        Open permits and tasks of older epochs.
    n_slots_used : int
        Slots of them.
    work : WaitingWork
        Expected slot-seconds of the waiting requests.
    queues : dict
        The waiting requests by shape.
    is_parked : bool
        Whether it was found to be at its limit.
    """

    __slots__ = (
        "is_parked",
        "limit",
        "max_waiting",
        "n_running",
        "n_slots_used",
        "n_waiting",
        "name",
        "queues",
        "share",
        "usage",
        "work",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.share = 1.0
        # Nothing starts before the view's limit was taken over.
        self.limit: int | None = 0
        self.max_waiting = 1
        self.usage = 0.0
        self.n_running = 0
        self.n_slots_used = 0
        self.n_waiting = 0
        self.work = WaitingWork()
        self.queues: dict[Shape, TeamQueue] = {}
        self.is_parked = False

    @property
    def is_idle(self) -> bool:
        """Whether the team has nothing here."""
        return not self.n_running and not self.n_waiting


class WaitingWork:
    """Expected slot-seconds of waiting requests, by urgency and by patience.

    Requests are ordered by deadline, so what goes before a request is about what has
    no more time than it had when it came. The classes double in width.
    """

    __slots__ = ("_batch", "_urgent")

    def __init__(self) -> None:
        self._urgent = [0.0] * N_PATIENCE_CLASSES
        self._batch = [0.0] * N_PATIENCE_CLASSES

    def add(self, item: Waiting, sign: int) -> None:
        """Add or (sign -1) take away a request."""
        work = self._urgent if item.req.urgent else self._batch
        number = patience_class(item.req.deadline)
        work[number] = max(work[number] + sign * item.work, 0.0)

    def ahead(self, *, urgent: bool, patience: timedelta) -> float:
        """Return the work that goes before a request that comes now."""
        number = patience_class(patience) + 1
        if urgent:
            return sum(self._urgent[:number])
        return sum(self._urgent) + sum(self._batch[:number])

    def total(self) -> float:
        """Return all of the work."""
        return sum(self._urgent) + sum(self._batch)


def patience_class(patience: timedelta) -> int:
    """Return the class of a time: the power of two of its tenths of a second."""
    tenths = int(patience.total_seconds() * 10)
    return min(max(tenths, 0).bit_length(), N_PATIENCE_CLASSES - 1)


class UsageLedger:
    """Charges slot-seconds to teams and forgets them exponentially.

    All uses decay at one rate, so the order of the teams changes only when one is
    charged. A charge is therefore scaled up by the time it is made at, instead of
    all earlier ones being scaled down.
    """

    __slots__ = ("_half_life", "_origin")

    def __init__(self, *, half_life: timedelta, now: timedelta = timedelta(0)) -> None:
        self._half_life = half_life
        self._origin = now

    def needs_rebase(self, now: timedelta) -> bool:
        """Return whether the scale is about to lose precision."""
        return (now - self._origin) / self._half_life > MAX_EXPONENT

    def rebase(self, teams: list[TeamState], now: timedelta) -> None:
        """Move the origin of the scale to now."""
        factor = 0.5 ** min((now - self._origin) / self._half_life, 1000.0)
        for team in teams:
            team.usage *= factor
        self._origin = now

    def charge(self, team: TeamState, slot_seconds: float, now: timedelta) -> None:
        """Charge a team, or pay back when negative."""
        scale = 2.0 ** ((now - self._origin) / self._half_life)
        team.usage = max(team.usage + slot_seconds * scale, 0.0)
