"""Metrics of calls: callers' requests, permits and slots, and relayed calls."""

from datetime import timedelta

from ._instruments import Instrument, InstrumentSet

__all__ = ["CALL_INSTRUMENTS", "CallMetrics"]

CALL_INSTRUMENTS = (
    Instrument(
        "histogram",
        "request.duration",
        "s",
        "From the receipt of a caller's request to its answer.",
    ),
    Instrument(
        "histogram",
        "call.duration",
        "s",
        "From the start of an endpoint's call to its end.",
    ),
    Instrument(
        "histogram",
        "permit.wait.duration",
        "s",
        "From the request for a permit to its grant.",
    ),
    Instrument("gauge", "slot.usage", "{slot}", "Slots in use."),
    Instrument("gauge", "slot.limit", "{slot}", "Slots that serve."),
    Instrument(
        "histogram",
        "relayed_call.duration",
        "s",
        "From the receipt of a call at a gateway to its answer.",
    ),
)


class CallMetrics(InstrumentSet):
    """Metrics of calls and of the slots that serve them."""

    __slots__ = ()

    def record_request(self, *, queue: str, outcome: str, duration: timedelta) -> None:
        """Record how long a caller's request took, with its outcome."""
        attributes = {"redwingslip.queue": queue, "redwingslip.outcome": outcome}
        self._record("request.duration", duration, attributes)

    def record_call(self, *, pool: str, outcome: str, duration: timedelta) -> None:
        """Record how long a call to an endpoint took, with its outcome."""
        attributes = {"redwingslip.pool": pool, "redwingslip.outcome": outcome}
        self._record("call.duration", duration, attributes)

    def record_permit_wait(
        self, *, pool: str, urgent: bool, duration: timedelta
    ) -> None:
        """Record the time from the request for a permit to its grant."""
        attributes = {"redwingslip.pool": pool, "redwingslip.urgent": urgent}
        self._record("permit.wait.duration", duration, attributes)

    def set_slots(self, *, pool: str, n_used: int, n_serving: int) -> None:
        """Set the numbers of used and of serving slots of a pool."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["slot.usage"].set(n_used, attributes)
        self._instruments["slot.limit"].set(n_serving, attributes)

    def record_relayed_call(
        self, *, method: str, status: int, duration: timedelta
    ) -> None:
        """Record how long a gateway took to answer a call."""
        attributes = {
            "http.request.method": method,
            "http.response.status_code": str(status),
        }
        self._record("relayed_call.duration", duration, attributes)
