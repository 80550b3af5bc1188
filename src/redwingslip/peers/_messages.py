"""The messages between the system's own processes.

All of them travel in batches over one stream for each pair of processes. Any of them
may be lost, late or doubled; who needs an answer asks again.
"""

import enum
from datetime import timedelta

import msgspec

from ..consensus._messages import ConsensusMessage
from ..fleet import Change, Command, Outcome, ViewSnapshot
from ._relay_messages import LeaderQuery, LeaderReport, RelayedAnswer, RelayedCall

__all__ = [
    "AllotmentRecall",
    "EndpointReport",
    "LeaseGrant",
    "LeaseRenewal",
    "Message",
    "Permit",
    "PermitCancel",
    "PermitDone",
    "PermitRefusal",
    "PermitRequest",
    "PoolDemand",
    "Proposal",
    "ProposalReply",
    "RebootDone",
    "RebootOrder",
    "RedirectToLeader",
    "RefusalReason",
    "ReplicaStatus",
    "ReplicasReply",
    "ReplicasRequest",
    "RunResult",
    "RunningTask",
    "TeamDemand",
    "VmDrained",
]


class _Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of the messages."""


# Entries and the leader.


class LeaseRenewal(_Message):
    """An entry asks the leader for its lease and for what it has not applied.

    Attributes
    ----------
    number : int
        Counts the renewals of this incarnation; the answer repeats it.
    applied_index : int
        Log index of the entry's view.
    stopping : bool
        The entry finishes what it has and dispatches no further pool.
    leaving : bool
        The entry has finished and gives its lease up.
    """

    entry_id: str
    incarnation: str
    address: str
    data_centre: str
    number: int
    applied_index: int
    stopping: bool = False
    leaving: bool = False


class LeaseGrant(_Message):
    """The leader's answer: changes up to `index`, and a lease from the asking on.

    Attributes
    ----------
    duration : timedelta
        Zero when there is no lease yet, the changes count all the same.
    from_index : int
        The view that the changes continue; it must be at least this.
    snapshot : ViewSnapshot or None
        The whole view instead of changes.
    in_force_index : int
        Everything up to it is in force everywhere.
    """

    number: int
    incarnation: str
    term: int
    duration: timedelta
    from_index: int
    index: int
    changes: tuple[Change, ...] = ()
    snapshot: ViewSnapshot | None = None
    in_force_index: int = 0


class RedirectToLeader(_Message):
    """The asked replica does not lead; `leader_id` is empty when it knows none."""

    leader_id: str
    address: str


class Proposal(_Message):
    """An entry proposes a command to the leader."""

    number: int
    command: Command


class ProposalReply(_Message):
    """The outcome once the command is committed; None when it was not taken."""

    number: int
    outcome: Outcome | None


class TeamDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What a team has in a pool: permits out, and requests waiting."""

    team: str
    n_running: int
    n_waiting: int


class ReplicasRequest(_Message):
    """An entry asks the leader how the replicas are."""

    number: int


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the log, as the leader sees it.

    Attributes
    ----------
    incarnation : str
        Another one after its disk was lost.
    voting : bool
        False for a learner.
    repaired : bool
        Whether it holds everything that was committed, synced, and votes.
    """

    replica_id: str
    incarnation: str
    address: str
    voting: bool
    repaired: bool


class ReplicasReply(_Message):
    """The members of the log."""

    number: int
    leader_id: str
    term: int
    replicas: tuple[ReplicaStatus, ...]


class PoolDemand(_Message):
    """A dispatcher tells the leader what its pool is asked for.

    Attributes
    ----------
    n_slots : int
        Slots of the endpoints that can take work.
    n_idle : int
        Those of them that are free.
    """

    pool: str
    epoch: int
    teams: tuple[TeamDemand, ...]
    n_slots: int
    n_idle: int


class AllotmentRecall(_Message):
    """The leader asks a dispatcher to give back what it can spare of an allotment.

    Attributes
    ----------
    count : int
        The size that is wished for, below the present one.
    """

    team: str
    pool: str
    epoch: int
    count: int


class RebootOrder(_Message):
    """The leader asks an entry to have the platform reboot a drained VM.

    `operation_id` is the same for a resend, and the platform reboots once for it.
    """

    vm: str
    wave: str
    operation_id: str


class RebootDone(_Message):
    """The platform has taken (or refused) the reboot."""

    vm: str
    wave: str
    operation_id: str
    accepted: bool
    reason: str = ""


class VmDrained(_Message):
    """A dispatcher holds no permit on a VM that is to leave or to be rebooted.

    Attributes
    ----------
    drain_index : int
        The drain of the VM's record that this is about.
    """

    vm: str
    pool: str
    epoch: int
    drain_index: int


# Entries and dispatchers.


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that an endpoint reports as running."""

    permit_id: str
    team: str


class EndpointReport(_Message):
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


class PermitRequest(_Message):
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


class Permit(_Message):
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


class PermitRefusal(_Message):
    """The dispatcher gives no permit; `retry_after` says when to ask again."""

    request_id: str
    pool: str
    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class PermitCancel(_Message):
    """The caller is gone: drop the waiting request."""

    request_id: str
    pool: str


class RunResult(enum.StrEnum):
    """How a permitted call ended, as the entry saw it."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PermitDone(_Message):
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


Message = (
    ConsensusMessage
    | LeaseRenewal
    | LeaseGrant
    | RedirectToLeader
    | ReplicasRequest
    | ReplicasReply
    | Proposal
    | ProposalReply
    | PoolDemand
    | AllotmentRecall
    | RebootOrder
    | RebootDone
    | VmDrained
    | EndpointReport
    | PermitRequest
    | Permit
    | PermitRefusal
    | PermitCancel
    | PermitDone
    | RelayedCall
    | RelayedAnswer
    | LeaderQuery
    | LeaderReport
)
