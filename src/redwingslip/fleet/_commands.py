"""The commands of the replicated log.

A command is the only thing that changes the replicated state. It carries every
input of its decision, time included, so that all replicas decide alike.
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
    """Base of the commands."""


class PutResource(_Command):
    """Write a resource.

    Attributes
    ----------
    if_version : int or None
        The version that must be current; 0 for "does not exist"; None for any.
    operation_id : str
        The same for a resend, which then gets the first outcome.
    """

    name: str
    spec: Spec
    if_version: int | None = None
    operation_id: str = ""


class DeleteResource(_Command):
    """Delete a resource; see `PutResource` for the options."""

    kind: Kind
    name: str
    if_version: int | None = None
    operation_id: str = ""


class MarkTakeover(_Command):
    """A new leader's first entry, which commits what older terms left behind."""

    leader_id: str


class RegisterEntry(_Command):
    """An entry daemon joins, or comes back under a new incarnation."""

    entry_id: str
    incarnation: str
    address: str
    data_centre: str = ""


class ExpireEntry(_Command):
    """An entry's lease has surely run out, or it has left in good order.

    Its dispatcher leases fall free and its open claims are settled as unknown.
    """

    entry_id: str
    incarnation: str


class AssignDispatcher(_Command):
    """Make an entry the dispatcher of a pool; the epoch is the log index."""

    pool: str
    entry_id: str
    incarnation: str


class ReleaseDispatcher(_Command):
    """The dispatcher of a pool gives its lease up."""

    pool: str
    epoch: int


class GrantAllotment(_Command):
    """Give a pool's dispatcher more of a team's upper limit.

    Attributes
    ----------
    count : int
        The new size of the allotment, above the old one.
    if_version : int
        The allotment's version that this is based on, 0 for none yet.
    """

    team: str
    pool: str
    count: int
    if_version: int


class ReturnAllotment(_Command):
    """A pool's dispatcher gives back a part of a team's upper limit.

    Attributes
    ----------
    epoch : int
        The dispatcher's epoch; only the current one may give back.
    count : int
        The new size of the allotment, below the old one. The dispatcher keeps
        to it from before the proposal on.
    if_version : int
        The allotment's version that this is based on.
    """

    team: str
    pool: str
    epoch: int
    count: int
    if_version: int


class ClaimKey(msgspec.Struct, frozen=True, kw_only=True):
    """A request id within its team."""

    team: str
    request_id: str


class Claim(_Command):
    """Claim the only run of a non-idempotent request.

    Attributes
    ----------
    attempt : str
        The same for a resend of this proposal, which then gets the first outcome.
    forget_after : datetime
        When the claim may be forgotten; the id is refused by its own time then.
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
        False only when the work surely did not run; the claim is then dropped.
    status : int
        HTTP status of the answer, 0 when the outcome is unknown.
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
    """Drop the claims whose time has passed."""

    before: datetime


class ReportVm(_Command):
    """A dispatcher's view of a VM's endpoints has changed.

    Attributes
    ----------
    assigned_at : int
        The VM's assignment that the report is about; a newer one voids it.
    """

    vm: str
    pool: str
    epoch: int
    assigned_at: int
    health: VmHealth


class BeginMove(_Command):
    """Begin to move a VM towards another pool, if the budgets admit it.

    Attributes
    ----------
    loan : bool
        Whether the planner lends a VM of a spare pool; otherwise `to_pool` must be
        the pool that the operator wishes.
    """

    vm: str
    to_pool: str
    loan: bool = False


class CancelMove(_Command):
    """Keep a VM in its pool that is leaving for a pool no longer wanted.

    Attributes
    ----------
    drain_index : int
        The drain that this is about; a newer one voids the command.
    """

    vm: str
    drain_index: int


class CompleteMove(_Command):
    """The VM holds no permit of its old pool: put it in the new one.

    Attributes
    ----------
    epoch : int
        The epoch of the dispatcher that found it drained.
    drain_index : int
        The drain that this is about; a newer one voids the command.
    """

    vm: str
    epoch: int
    drain_index: int


class BeginMaintenance(_Command):
    """Begin to drain a VM for a wave, if the budgets admit it."""

    vm: str
    wave: str


class MarkRebooted(_Command):
    """The platform says that the VM's reboot is done.

    The VM counts as newly assigned, so only endpoints that have seen the new fencing
    token, which no process from before the reboot can have, make it healthy again.

    Attributes
    ----------
    drain_index : int
        The drain that the reboot belongs to; a newer one voids the command.
    """

    vm: str
    wave: str
    drain_index: int


class CancelMaintenance(_Command):
    """The platform refused the reboot: the VM serves on and the wave goes without it.

    Attributes
    ----------
    drain_index : int
        The drain that the refused reboot belongs to.
    """

    vm: str
    wave: str
    drain_index: int


class CompleteMaintenance(_Command):
    """The VM was rebooted and its endpoints announced again."""

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
