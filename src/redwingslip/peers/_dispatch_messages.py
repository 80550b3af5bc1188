"""Messages between entries and dispatchers."""

import enum
from datetime import timedelta

import msgspec

from ._base import PeerMessage

__all__ = [
    "DispatchMessage",
    "EndpointReport",
    "Permit",
    "PermitCancel",
    "PermitDone",
    "PermitRefusal",
    "PermitRequest",
    "RefusalReason",
    "RunResult",
    "RunningTask",
]


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that an endpoint reports as running."""

    permit_id: str
    team: str


class EndpointReport(PeerMessage):
    """An endpoint's announcement, which an entry forwards to the pool's dispatcher.

    Attributes
    ----------
    leaving : bool
        Whether the endpoint accepts no further work.
    clock : timedelta
        The endpoint's own monotonic time at the announcement.
    fencing_token : int
        Highest fencing token that the endpoint has seen; it refuses lower ones.
    running : tuple of RunningTask
        All tasks that run on the endpoint.
    """

    endpoint_id: str
    incarnation: str
    service: str
    address: str
    vm: str
    slots: int
    leaving: bool
    clock: timedelta
    fencing_token: int
    running: tuple[RunningTask, ...] = ()


class PermitRequest(PeerMessage):
    """An entry's request to a pool's dispatcher for a slot.

    Attributes
    ----------
    request_id : str
        Unique over all entries; a resent request carries the same id.
    entry_id : str
        Entry that the permit is sent to.
    deadline : timedelta
        Time for which the caller still waits when the request is sent.
    expected_run : timedelta or None
        Run time that the caller declares; None if it declares none.
    excluded : tuple of str
        Endpoints on which the request failed before.
    n_attempts : int
        Number of earlier runs of this request that failed.
    """

    request_id: str
    entry_id: str
    pool: str
    queue: str
    service: str
    team: str
    urgent: bool
    deadline: timedelta
    max_run: timedelta
    expected_run: timedelta | None = None
    slots: int = 1
    accelerators: int = 0
    memory_mb: int = 0
    excluded: tuple[str, ...] = ()
    n_attempts: int = 0


class Permit(PeerMessage):
    """The right to start one request on one endpoint.

    Attributes
    ----------
    permit_id : str
        Unique; the endpoint reports it while the task runs.
    start_by : timedelta
        Latest start by the endpoint's own monotonic clock; the endpoint refuses to
        start later.
    start_within : timedelta
        Time that the entry has for starting the call after receipt of the permit.
    lease : timedelta
        The task lease: the time for which the endpoint may run the request.
    """

    permit_id: str
    request_id: str
    pool: str
    epoch: int
    endpoint_id: str
    incarnation: str
    address: str
    fencing_token: int
    start_by: timedelta
    start_within: timedelta
    lease: timedelta


class RefusalReason(enum.StrEnum):
    """Why a dispatcher grants no permit; in each case the work did not run."""

    NOT_DISPATCHER = "not-dispatcher"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-capacity"
    UNRUNNABLE = "unrunnable"
    OVER_LIMIT = "over-limit"
    CANCELLED = "cancelled"


class PermitRefusal(PeerMessage):
    """A dispatcher's refusal; `retry_after` is the wait before another request."""

    request_id: str
    pool: str
    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class PermitCancel(PeerMessage):
    """An entry's order to drop a waiting request, whose caller no longer waits."""

    request_id: str
    pool: str


class RunResult(enum.StrEnum):
    """How a permitted call ended, as the entry saw it."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PermitDone(PeerMessage):
    """An entry's report that it has finished with a permit.

    After the result ``unknown`` the task may still run on the endpoint. The dispatcher
    keeps the slot occupied until the endpoint no longer reports the task or the task
    lease has certainly expired.
    """

    permit_id: str
    request_id: str
    pool: str
    endpoint_id: str
    result: RunResult
    run_time: timedelta


DispatchMessage = (
    EndpointReport | PermitRequest | Permit | PermitRefusal | PermitCancel | PermitDone
)
