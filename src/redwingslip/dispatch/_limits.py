"""A pool's allotments of the teams' upper limits, and their return to the leader."""

from datetime import timedelta

from ..fleet import FleetView, ReturnAllotment
from ..peers import AllotmentRecall
from ._settings import DispatchSettings

__all__ = ["AllotmentManager"]


class _PendingReturn:
    """A proposed return whose outcome the view does not show yet."""

    __slots__ = ("command", "proposed_at")

    def __init__(self, command: ReturnAllotment, now: timedelta) -> None:
        self.command = command
        self.proposed_at = now


class _RecallTarget:
    """The size to which the leader wants an allotment to shrink, and its expiry."""

    __slots__ = ("count", "expires_at")

    def __init__(self, count: int, expires_at: timedelta) -> None:
        self.count = count
        self.expires_at = expires_at


class AllotmentManager:
    """Enforces the allotments of one pool and returns the parts that are recalled.

    A proposed return lowers the limit immediately, before its proposal is sent. It is
    discarded only once the view shows another version of the allotment: by then the
    proposal was applied, or it can no longer be applied.
    """

    __slots__ = ("_cfg", "_epoch", "_pool", "_returns", "_targets", "_view")

    def __init__(
        self, *, pool: str, epoch: int, cfg: DispatchSettings, view: FleetView
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._cfg = cfg
        self._view = view
        self._returns: dict[str, _PendingReturn] = {}
        self._targets: dict[str, _RecallTarget] = {}

    def max_running(self, team: str) -> int | None:
        """Return how many requests of a team may run here; None for no limit."""
        if self._view.team(team).limit is None:
            return None
        allotment = self._view.allotment(team, self._pool)
        pending = self._returns.get(team)
        if pending is None:
            return allotment.count
        if pending.command.if_version != allotment.version:
            del self._returns[team]
            return allotment.count
        return pending.command.count

    def recall(self, msg: AllotmentRecall, now: timedelta) -> None:
        """Record the size to which the leader wants an allotment to shrink.

        The recall expires unless the leader repeats it.
        """
        if msg.pool == self._pool and msg.epoch == self._epoch:
            expires_at = now + 2 * self._cfg.repeat
            self._targets[msg.team] = _RecallTarget(msg.count, expires_at)

    def propose_return(
        self, team: str, n_running: int, now: timedelta
    ) -> ReturnAllotment | None:
        """Return a proposal to return the unused part of a recall, or None."""
        target = self._targets.get(team)
        if target is None:
            return None
        if target.expires_at <= now:
            del self._targets[team]
            return None
        current = self._view.allotment(team, self._pool)
        pending = self._returns.get(team)
        if pending is not None and pending.command.if_version == current.version:
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
        self._returns[team] = _PendingReturn(command, now)
        return command

    def take_overdue_returns(self, now: timedelta) -> list[ReturnAllotment]:
        """Return the proposals that must be sent again, and restart their timers.

        The view has not shown their outcome for the repeat interval.
        """
        overdue = []
        for team, pending in list(self._returns.items()):
            version = self._view.allotment(team, self._pool).version
            if pending.command.if_version != version:
                del self._returns[team]
            elif now - pending.proposed_at >= self._cfg.repeat:
                pending.proposed_at = now
                overdue.append(pending.command)
        return overdue
