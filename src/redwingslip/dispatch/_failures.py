"""Whether the endpoint or the request is at fault when a call fails."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta

from ..peers import PermitRequest, RunResult
from ._endpoints import Endpoint
from ._settings import DispatchSettings

__all__ = ["FailureTracker"]

MAX_FIRST_FAILURES = 1_000


class FailureTracker:
    """Counts failures against endpoints, unless the request fails elsewhere too.

    A failure counts against the endpoint at first. When the same request then fails
    on another endpoint that is healthy, the request is at fault: the failure of the
    first endpoint is subtracted again and the failure of the second is not counted. If
    the other endpoint is not healthy, the failure counts against both.
    """

    __slots__ = ("_cfg", "_first_failures")

    def __init__(self, cfg: DispatchSettings) -> None:
        self._cfg = cfg
        self._first_failures: OrderedDict[str, Endpoint] = OrderedDict()

    def record_result(
        self, endpoint: Endpoint, req: PermitRequest, result: RunResult, now: timedelta
    ) -> None:
        """Record the result of a call; any but `COMPLETED` is a failure."""
        if result is RunResult.COMPLETED:
            endpoint.n_failures = 0
            endpoint.succeeded_at = now
            return
        first_endpoint = self._first_failures.pop(req.request_id, None)
        if first_endpoint is None or first_endpoint is endpoint:
            self._count_failure(endpoint, req)
            return
        if self.is_healthy(endpoint):
            first_endpoint.n_failures = max(first_endpoint.n_failures - 1, 0)
            return
        endpoint.n_failures += 1

    def _count_failure(self, endpoint: Endpoint, req: PermitRequest) -> None:
        """Count a failure, and remember on which endpoint the request failed."""
        endpoint.n_failures += 1
        self._first_failures[req.request_id] = endpoint
        if len(self._first_failures) > MAX_FIRST_FAILURES:
            self._first_failures.popitem(last=False)

    def is_healthy(self, endpoint: Endpoint) -> bool:
        """Return whether calls of other requests succeed on an endpoint."""
        if endpoint.succeeded_at is None or endpoint.health.state == "ejected":
            return False
        return endpoint.n_failures < self._cfg.eject_after

    def is_failing(self, endpoint: Endpoint, others: Iterable[Endpoint]) -> bool:
        """Return whether all calls fail on an endpoint while another one is healthy.

        A probing endpoint counts as failing after a single failure.
        """
        if endpoint.health.state == "probing":
            return endpoint.n_failures > 0
        if endpoint.n_failures < self._cfg.eject_after:
            return False
        return any(e is not endpoint and self.is_healthy(e) for e in others)

    def is_unrunnable(self, req: PermitRequest, endpoints: dict[str, Endpoint]) -> bool:
        """Return whether a request failed on enough healthy endpoints."""
        if len(req.excluded) < self._cfg.unrunnable_after:
            return False
        healthy = {
            name
            for name in req.excluded
            if name in endpoints and self.is_healthy(endpoints[name])
        }
        return len(healthy) >= self._cfg.unrunnable_after
