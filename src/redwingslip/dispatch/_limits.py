"""A pool's allotments of the teams' upper limits, and how they are given back."""

from datetime import timedelta

from ..fleet import FleetView, ReturnAllotment
from ..peers import AllotmentRecall
from ._settings import DispatchSettings

__all__ = ["AllotmentManager"]


class _Return:
    """A part of an allotment that was promised back."""

    __slots__ = ("command", "said_at")

    def __init__(self, command: ReturnAllotment, now: timedelta) -> None:
        self.command = command
        self.said_at = now


class _Target:
    """The size that the leader wishes an allotment to shrink to."""

    __slots__ = ("count", "until")

    def __init__(self, count: int, until: timedelta) -> None:
        self.count = count
        self.until = until


class AllotmentManager:
    """Keeps to the allotments of one pool and gives back what is recalled.

    A promised return binds from before its proposal on. It is void only once the
    view shows another version of the allotment: then the proposal was applied, or it
    can't be applied any more.
    """

    __slots__ = ("_cfg", "_epoch", "_pool", "_returns", "_targets", "_view")

    def __init__(
        self, *, pool: str, epoch: int, cfg: DispatchSettings, view: FleetView
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._cfg = cfg
        self._view = view
        self._returns: dict[str, _Return] = {}
        self._targets: dict[str, _Target] = {}

    def max_running(self, team: str) -> int | None:
        """Return how many requests of a team may run here; None for no limit."""
        if self._view.team(team).limit is None:
            return None
        allotment = self._view.allotment(team, self._pool)
        promised = self._returns.get(team)
        if promised is None:
            return allotment.count
        if promised.command.if_version != allotment.version:
            del self._returns[team]
            return allotment.count
        return promised.command.count

    def recall(self, msg: AllotmentRecall, now: timedelta) -> None:
        """Note the size that the leader wishes an allotment to have.

        The wish lapses unless it is repeated.
        """
        if msg.pool == self._pool and msg.epoch == self._epoch:
            until = now + 2 * self._cfg.repeat
            self._targets[msg.team] = _Target(msg.count, until)

    def propose_return(
        self, team: str, n_running: int, now: timedelta
    ) -> ReturnAllotment | None:
        """Return what to propose so that a recalled allotment shrinks, or None."""
        target = self._targets.get(team)
        if target is None:
            return None
        if target.until <= now:
            del self._targets[team]
            return None
        current = self._view.allotment(team, self._pool)
        promised = self._returns.get(team)
        if promised is not None and promised.command.if_version == current.version:
            return None
        count = max(target.count, n_running)
        if count >= current.count:
            return None
        command = ReturnAllotment(
            team=team,
            pool=self._pool,
            epoch=self._epoch,
            count=count,
            if_version=current.version,
        )
        self._returns[team] = _Return(command, now)
        return command

    def take_overdue_returns(self, now: timedelta) -> list[ReturnAllotment]:
        """Return the proposals whose outcome has been missing for too long."""
        due = []
        for team, promised in list(self._returns.items()):
            version = self._view.allotment(team, self._pool).version
            if promised.command.if_version != version:
                del self._returns[team]
            elif now - promised.said_at >= self._cfg.repeat:
                promised.said_at = now
                due.append(promised.command)
        return due
