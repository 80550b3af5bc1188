"""State of the teams in one pool: shares, limits, waiting work and usage."""

from datetime import timedelta

from ._queue import Shape, TeamQueue, WaitingRequest

__all__ = ["TeamKey", "TeamState", "UsageLedger", "WaitingWork"]

MAX_HALF_LIVES = 64.0
N_DEADLINE_CLASSES = 16

TeamKey = tuple[float, float]
"""Sort key of a team among the teams that wait: the lowest key goes first."""


class TeamState:
    """State of a team in one pool.

    Attributes
    ----------
    share : float
        Weight relative to the other teams.
    limit : int or None
        Requests that may run in this pool at the same time; None for no limit.
    max_waiting : int
        Requests that may wait in this pool at the same time.
    usage : float
        Decayed slot-seconds, in the scale of the `UsageLedger`.
    n_running : int
        Number of open permits and of tasks that older epochs granted.
    n_slots_used : int
        Number of slots that these use.
    n_waiting : int
        Number of waiting requests.
    work : WaitingWork
        Expected slot-seconds of the waiting requests.
    queues : dict
        Queues of waiting requests by shape.
    is_parked : bool
        Whether it has left its lanes because it was at its limit.
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
        # The limit of 0 lets nothing start before the real limit is read from the view.
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
        """Whether the team has no running and no waiting requests in the pool."""
        return not self.n_running and not self.n_waiting


class WaitingWork:
    """Expected slot-seconds of waiting requests, by urgency and by deadline class.

    Requests are ordered by deadline. The work ahead of a new request is therefore
    approximated by that of the requests which arrived with the same time to their
    deadline or less. Each class is twice as wide as the one before.
    """

    __slots__ = ("_batch", "_urgent")

    def __init__(self) -> None:
        self._urgent = [0.0] * N_DEADLINE_CLASSES
        self._batch = [0.0] * N_DEADLINE_CLASSES

    def add(self, waiting: WaitingRequest, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the work of a request."""
        work = self._urgent if waiting.req.urgent else self._batch
        number = deadline_class(waiting.req.deadline)
        work[number] = max(work[number] + sign * waiting.work, 0.0)

    def ahead(self, *, urgent: bool, time_left: timedelta) -> float:
        """Return the work ahead of a new request, in slot-seconds."""
        n_classes = deadline_class(time_left) + 1
        if urgent:
            return sum(self._urgent[:n_classes])
        return sum(self._urgent) + sum(self._batch[:n_classes])

    def total(self) -> float:
        """Return the work of all requests, in slot-seconds."""
        return sum(self._urgent) + sum(self._batch)


def deadline_class(time_left: timedelta) -> int:
    """Return the class of a time left: the bit length of its tenths of a second."""
    tenths = int(time_left.total_seconds() * 10)
    return min(max(tenths, 0).bit_length(), N_DEADLINE_CLASSES - 1)


class UsageLedger:
    """Charges slot-seconds to teams, with exponential decay.

    The usage of all teams decays at the same rate, so their order changes only with a
    charge. A charge is therefore scaled up by the decay since the origin of the scale,
    instead of scaling down all earlier charges.
    """

    __slots__ = ("_half_life", "_origin")

    def __init__(self, *, half_life: timedelta, now: timedelta = timedelta(0)) -> None:
        self._half_life = half_life
        self._origin = now

    def needs_rebase(self, now: timedelta) -> bool:
        """Return whether the origin is so old that the scale would lose precision."""
        return (now - self._origin) / self._half_life > MAX_HALF_LIVES

    def rebase(self, teams: list[TeamState], now: timedelta) -> None:
        """Move the origin of the scale to `now`."""
        factor = 0.5 ** min((now - self._origin) / self._half_life, 1000.0)
        for team in teams:
            team.usage *= factor
        self._origin = now

    def charge(self, team: TeamState, slot_seconds: float, now: timedelta) -> None:
        """Charge a team slot-seconds; a negative number is a refund."""
        scale = 2.0 ** ((now - self._origin) / self._half_life)
        team.usage = max(team.usage + slot_seconds * scale, 0.0)
