"""When the leader is told what a pool is asked for."""

from datetime import timedelta

from ..peers import PoolDemand
from ._settings import DispatchSettings

__all__ = ["DemandReporter"]


class DemandReporter:
    """Says a demand that has changed, at a bounded rate, and repeats it slowly.

    The repetition makes up for a lost message and for a new leader.
    """

    __slots__ = ("_cfg", "_last", "_said_at", "is_changed")

    def __init__(self, cfg: DispatchSettings) -> None:
        self._cfg = cfg
        self._last: PoolDemand | None = None
        self._said_at: timedelta | None = None
        self.is_changed = True

    def is_due(self, now: timedelta) -> bool:
        """Return whether the demand should be looked at now."""
        if self._said_at is None:
            return True
        wait = self._cfg.demand_interval if self.is_changed else self._cfg.repeat
        return now - self._said_at >= wait

    def take(self, demand: PoolDemand, now: timedelta) -> PoolDemand | None:
        """Return the demand if it must be said, or None when it is old news."""
        self.is_changed = False
        is_repeat = self._said_at is None or now - self._said_at >= self._cfg.repeat
        if demand == self._last and not is_repeat:
            return None
        self._last = demand
        self._said_at = now
        return demand
