"""Which is at fault when work fails: the endpoint or the request."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta

from ..peers import PermitRequest, RunResult
from ._endpoints import Endpoint
from ._settings import DispatchSettings

__all__ = ["FailureJudge"]

N_BLAMES_KEPT = 1_000


class FailureJudge:
    """Counts failures against endpoints, unless the request fails elsewhere too.

    A failure counts against the endpoint at first. When the same request then fails
    on another endpoint that does well otherwise, the request is at fault: the first
    endpoint's failure is taken back and the second's is not counted.
    """

    __slots__ = ("_blamed", "_cfg")

    def __init__(self, cfg: DispatchSettings) -> None:
        self._cfg = cfg
        self._blamed: OrderedDict[str, Endpoint] = OrderedDict()

    def note(
        self, endpoint: Endpoint, req: PermitRequest, result: RunResult, now: timedelta
    ) -> None:
        """Take the end of a permit into account."""
        if result is RunResult.COMPLETED:
            endpoint.n_failures = 0
            endpoint.succeeded_at = now
            return
        first = self._blamed.pop(req.request_id, None)
        if first is None or first is endpoint:
            self._blame(endpoint, req)
            return
        if self.is_healthy(endpoint):
            first.n_failures = max(first.n_failures - 1, 0)
            return
        endpoint.n_failures += 1

    def _blame(self, endpoint: Endpoint, req: PermitRequest) -> None:
        endpoint.n_failures += 1
        self._blamed[req.request_id] = endpoint
        if len(self._blamed) > N_BLAMES_KEPT:
            self._blamed.popitem(last=False)

    def is_healthy(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint does well with other work."""
        if endpoint.succeeded_at is None or endpoint.health.state == "ejected":
            return False
        return endpoint.n_failures < self._cfg.eject_after

    def is_bad(self, endpoint: Endpoint, others: Iterable[Endpoint]) -> bool:
        """Return whether an endpoint fails everything while another does well."""
        if endpoint.health.state == "probing":
            return endpoint.n_failures > 0
        if endpoint.n_failures < self._cfg.eject_after:
            return False
        return any(e is not endpoint and self.is_healthy(e) for e in others)

    def is_unrunnable(self, req: PermitRequest, endpoints: dict[str, Endpoint]) -> bool:
        """Return whether a request failed on enough endpoints that do well."""
        if len(req.excluded) < self._cfg.unrunnable_after:
            return False
        healthy = {
            name
            for name in req.excluded
            if name in endpoints and self.is_healthy(endpoints[name])
        }
        return len(healthy) >= self._cfg.unrunnable_after
