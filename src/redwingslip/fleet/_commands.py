"""The commands of the replicated log.

Only commands change the replicated state. A command carries every input of its
decision, including the time, so that all replicas come to the same decision.
"""

from datetime import datetime

import msgspec

from ._resources import Kind, Spec, VmHealth

__all__ = [
    "AssignDispatcher",
    "BeginMaintenance",
    "BeginMove",
    "CancelMaintenance",
    "CancelMove",
    "Claim",
    "ClaimKey",
    "ClaimOutcome",
    "Command",
    "CompleteMaintenance",
    "CompleteMove",
    "DeleteResource",
    "ExpireEntry",
    "ForgetClaims",
    "GrantAllotment",
    "MarkRebooted",
    "MarkTakeover",
    "PutResource",
    "RegisterEntry",
    "ReleaseDispatcher",
    "ReportVm",
    "ReturnAllotment",
    "SettleClaim",
]


class _Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base class of all commands."""


class PutResource(_Command):
    """Create or replace a resource.

    Attributes
    ----------
    if_version : int or None
        The version that the resource must have; 0 if it must not exist; None
        accepts any version.
    operation_id : str
        Identifies the write. A resend with the same id gets the first outcome.
    """

    name: str
    spec: Spec
    if_version: int | None = None
    operation_id: str = ""


class DeleteResource(_Command):
    """Delete a resource; see `PutResource` for the attributes."""

    kind: Kind
    name: str
    if_version: int | None = None
    operation_id: str = ""


class MarkTakeover(_Command):
    """Mark the start of a leader's term.

    Committing this command also commits the log entries of earlier terms.
    """

    leader_id: str


class RegisterEntry(_Command):
    """Register an entry daemon that joins or restarts with a new incarnation."""

    entry_id: str
    incarnation: str
    address: str
    data_centre: str = ""


class ExpireEntry(_Command):
    """Remove an entry whose lease has expired or that has shut down cleanly.

    The proposer must rule out that the entry still relies on its lease. The entry's
    dispatcher leases are released, and its open claims are settled as unknown.
    """

    entry_id: str
    incarnation: str


class AssignDispatcher(_Command):
    """Make an entry the dispatcher of a pool; the epoch is the log index."""

    pool: str
    entry_id: str
    incarnation: str


class ReleaseDispatcher(_Command):
    """Release the lease of a pool's dispatcher at its own request."""

    pool: str
    epoch: int


class GrantAllotment(_Command):
    """Increase the part of a team's limit that a pool's dispatcher may use.

    Attributes
    ----------
    count : int
        The new size of the allotment, larger than the current size.
    if_version : int
        The version of the allotment that this command is based on, 0 if the
        allotment does not exist yet.
    """

    team: str
    pool: str
    count: int
    if_version: int


class ReturnAllotment(_Command):
    """Return part of a team's limit from a pool's dispatcher.

    Attributes
    ----------
    epoch : int
        The epoch of the dispatcher; only the current dispatcher may return an
        allotment.
    count : int
        The new size of the allotment, smaller than the current size. The
        dispatcher already applies the new size when it proposes the command.
    if_version : int
        The version of the allotment that this command is based on.
    """

    team: str
    pool: str
    epoch: int
    count: int
    if_version: int


class ClaimKey(msgspec.Struct, frozen=True, kw_only=True):
    """A request id, which is unique within its team."""

    team: str
    request_id: str


class Claim(_Command):
    """Claim the right to the only run of a non-idempotent request.

    Attributes
    ----------
    attempt : str
        Identifies this attempt. A resend with the same attempt gets the first
        outcome.
    forget_after : datetime
        Time after which the claim may be deleted. By then the request id is
        rejected because of the time that it carries.
    """

    key: ClaimKey
    entry_id: str
    incarnation: str
    attempt: str
    forget_after: datetime


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a claimed run.

    Attributes
    ----------
    run : bool
        False only when it is ruled out that the work ran. The request id is then
        free for another attempt.
    status : int
        HTTP status of the answer, 0 when the outcome is unknown.
    content_type : str
        Media type of the answer.
    body : bytes
        Body of the answer.
    """

    run: bool
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class SettleClaim(_Command):
    """Record the outcome of a claimed run."""

    key: ClaimKey
    attempt: str
    outcome: ClaimOutcome


class ForgetClaims(_Command):
    """Delete the settled claims whose `forget_after` is not later than `before`."""

    before: datetime


class ReportVm(_Command):
    """Report a change in the health of a VM as its dispatcher sees it.

    Attributes
    ----------
    assigned_at : int
        Log index of the VM's assignment that the report refers to. The report is
        rejected when the VM has a newer assignment.
    """

    vm: str
    pool: str
    epoch: int
    assigned_at: int
    health: VmHealth


class BeginMove(_Command):
    """Start draining a VM to move it to another pool, if the budgets allow it.

    Attributes
    ----------
    loan : bool
        Whether this move lends a VM of a spare pool. Otherwise `to_pool` must be
        the pool in the VM's specification.
    """

    vm: str
    to_pool: str
    loan: bool = False


class CancelMove(_Command):
    """Cancel a move that is no longer wanted; the VM stays in its pool.

    Attributes
    ----------
    drain_index : int
        Log index of the drain to cancel. The command is rejected when the VM is in
        a newer drain.
    """

    vm: str
    drain_index: int


class CompleteMove(_Command):
    """Complete the drain of a VM that holds no permits of its pool any more.

    The VM is assigned to its new pool, or leaves the fleet if it is being removed.

    Attributes
    ----------
    epoch : int
        The epoch of the dispatcher that reported the VM as drained.
    drain_index : int
        Log index of the drain to complete. The command is rejected when the VM is
        in a newer drain.
    """

    vm: str
    epoch: int
    drain_index: int


class BeginMaintenance(_Command):
    """Start draining a VM for a wave, if the budgets allow it."""

    vm: str
    wave: str


class MarkRebooted(_Command):
    """Record that the platform has completed the reboot of a VM.

    The VM counts as newly assigned, which raises its fencing token. Only endpoints
    that have seen the new token make the VM healthy again. No process from before the
    reboot can have seen it.

    Attributes
    ----------
    drain_index : int
        Log index of the drain that the reboot belongs to. The command is rejected
        when the VM is in a newer drain.
    """

    vm: str
    wave: str
    drain_index: int


class CancelMaintenance(_Command):
    """Return a VM to service because the platform refused its reboot.

    The wave counts the VM as skipped.

    Attributes
    ----------
    drain_index : int
        Log index of the drain that the refused reboot belongs to.
    """

    vm: str
    wave: str
    drain_index: int


class CompleteMaintenance(_Command):
    """Return a VM to service after its reboot, once its endpoints are up again."""

    vm: str
    wave: str


Command = (
    PutResource
    | DeleteResource
    | MarkTakeover
    | RegisterEntry
    | ExpireEntry
    | AssignDispatcher
    | ReleaseDispatcher
    | GrantAllotment
    | ReturnAllotment
    | Claim
    | SettleClaim
    | ForgetClaims
    | ReportVm
    | BeginMove
    | CancelMove
    | CompleteMove
    | BeginMaintenance
    | MarkRebooted
    | CancelMaintenance
    | CompleteMaintenance
)
