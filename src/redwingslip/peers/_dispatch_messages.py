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
    """An endpoint's announcement, passed on to the pool's dispatcher.

    Attributes
    ----------
    clock : timedelta
        The endpoint's own monotonic time when it announced.
    fencing_token : int
        The highest token that the endpoint has seen; it refuses lower ones.
    running : tuple of RunningTask
        Everything that runs on it.
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
    """An entry asks a pool's dispatcher for a slot.

    Attributes
    ----------
    request_id : str
        Unique over all entries; a resend carries the same.
    entry_id : str
        Where the permit goes.
    deadline : timedelta
        How long from now the caller waits for the answer.
    expected_run : timedelta or None
        The run time that the caller declares.
    excluded : tuple of str
        Endpoints on which the request failed before.
    n_attempts : int
        Runs of this request that failed before.
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
        The endpoint's own monotonic time after which it refuses to start.
    start_within : timedelta
        How long from the receipt the entry may take to start the call.
    lease : timedelta
        The task lease: how long the endpoint may run it.
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
    """Why a dispatcher gives no permit; in each case the work did not run."""

    NOT_DISPATCHER = "not-dispatcher"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-capacity"
    UNRUNNABLE = "unrunnable"
    OVER_LIMIT = "over-limit"
    CANCELLED = "cancelled"


class PermitRefusal(PeerMessage):
    """The dispatcher gives no permit; `retry_after` says when to ask again."""

    request_id: str
    pool: str
    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class PermitCancel(PeerMessage):
    """The caller is gone: drop the waiting request."""

    request_id: str
    pool: str


class RunResult(enum.StrEnum):
    """How a permitted call ended, as the entry saw it."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PermitDone(PeerMessage):
    """The entry has finished with a permit.

    After ``unknown`` the task may still run on the endpoint; the dispatcher holds
    the slot until the endpoint no longer reports it or its lease has surely ended.
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
