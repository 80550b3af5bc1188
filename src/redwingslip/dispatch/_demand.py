"""When the pool's demand is reported to the leader."""

from datetime import timedelta

from ..peers import PoolDemand
from ._settings import DispatchSettings

__all__ = ["DemandReporter"]


class DemandReporter:
    """Decides when to report the demand of a pool.

    A changed demand is reported at a bounded rate. An unchanged demand is repeated at a
    lower rate, in case a message was lost or a new leader has taken over.

    Attributes
    ----------
    is_changed : bool
        Whether a task has begun or ended since the demand was last computed.
    """

    __slots__ = ("_cfg", "_last_demand", "_reported_at", "is_changed")

    def __init__(self, cfg: DispatchSettings) -> None:
        self._cfg = cfg
        self._last_demand: PoolDemand | None = None
        self._reported_at: timedelta | None = None
        self.is_changed = True

    def is_due(self, now: timedelta) -> bool:
        """Return whether the demand should be computed and passed to `take_if_due`."""
        if self._reported_at is None:
            return True
        wait = self._cfg.demand_interval if self.is_changed else self._cfg.repeat
        return now - self._reported_at >= wait

    def take_if_due(self, demand: PoolDemand, now: timedelta) -> PoolDemand | None:
        """Return the demand, or None if the same demand was reported recently."""
        self.is_changed = False
        is_repeat = (
            self._reported_at is None or now - self._reported_at >= self._cfg.repeat
        )
        if demand == self._last_demand and not is_repeat:
            return None
        self._last_demand = demand
        self._reported_at = now
        return demand
