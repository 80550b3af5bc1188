"""Ejection of endpoints on which all calls fail."""

from datetime import timedelta

from ..fleet import FleetView
from ..observe._events import EventName
from ..peers import PermitRequest, RunResult
from ._capacity import PoolCapacity
from ._endpoints import Endpoint
from ._failures import FailureTracker
from ._outbox import Outbox
from ._settings import DispatchSettings

__all__ = ["Ejector"]


class Ejector:
    """Ejects failing endpoints and readmits them after a successful probe.

    An endpoint is ejected only if enough VMs of the pool still serve without it.
    """

    __slots__ = ("_capacity", "_cfg", "_failures", "_outbox", "_pool", "_view")

    def __init__(
        self,
        *,
        pool: str,
        cfg: DispatchSettings,
        view: FleetView,
        capacity: PoolCapacity,
        failures: FailureTracker,
        outbox: Outbox,
    ) -> None:
        self._pool = pool
        self._cfg = cfg
        self._view = view
        self._capacity = capacity
        self._failures = failures
        self._outbox = outbox

    def record_result(
        self, endpoint: Endpoint, req: PermitRequest, result: RunResult, now: timedelta
    ) -> None:
        """Record the result of a call, and eject or readmit its endpoint."""
        self._failures.record_result(endpoint, req, result, now)
        health = endpoint.health
        if health.state == "probing" and result is RunResult.COMPLETED:
            endpoint.backoff = timedelta(0)
            self._capacity.change_health(endpoint, health.recover)
        elif health.state in ("serving", "probing") and self._must_eject(endpoint):
            self._eject(endpoint, now)

    def _must_eject(self, endpoint: Endpoint) -> bool:
        # A generator: the peers are examined only after enough failures in a row.
        peers = (
            e
            for e in self._capacity.endpoints.values()
            if e.last_report.service == endpoint.last_report.service
        )
        return self._failures.is_failing(endpoint, peers) and self._may_eject(endpoint)

    def _may_eject(self, endpoint: Endpoint) -> bool:
        """Return whether enough VMs of the pool serve without an endpoint.

        A probing endpoint may always be ejected again.
        """
        spec = self._view.pool(self._pool)
        if spec is None or endpoint.health.state == "probing":
            return True
        serving = {
            e.vm.record.name
            for e in self._capacity.endpoints.values()
            if e is not endpoint and e.takes_work
        }
        return len(serving) >= spec.min_serving

    def _eject(self, endpoint: Endpoint, now: timedelta) -> None:
        backoff = max(endpoint.backoff * 2, self._cfg.eject_backoff)
        endpoint.backoff = min(backoff, self._cfg.max_eject_backoff)
        endpoint.ejected_until = now + endpoint.backoff
        endpoint.n_failures = 0
        self._capacity.change_health(endpoint, endpoint.health.eject)
        self._outbox.emit(
            EventName.ENDPOINT_EJECTED,
            endpoint_id=endpoint.endpoint_id,
            vm=endpoint.vm.record.name,
        )
