"""Messages between entries and the leader of the log."""

from datetime import timedelta

import msgspec

from ..fleet import Change, Command, Outcome, ViewSnapshot
from ._base import PeerMessage

__all__ = [
    "LeaderMessage",
    "AllotmentRecall",
    "LeaseGrant",
    "LeaseRenewal",
    "PoolDemand",
    "Proposal",
    "ProposalReply",
    "RebootDone",
    "RebootOrder",
    "RedirectToLeader",
    "ReplicaStatus",
    "ReplicasReply",
    "ReplicasRequest",
    "TeamDemand",
    "VmDrained",
]


class LeaseRenewal(PeerMessage):
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


class LeaseGrant(PeerMessage):
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


class RedirectToLeader(PeerMessage):
    """The asked replica does not lead; `leader_id` is empty when it knows none."""

    leader_id: str
    address: str


class Proposal(PeerMessage):
    """An entry proposes a command to the leader."""

    number: int
    command: Command


class ProposalReply(PeerMessage):
    """The outcome once the command is committed; None when it was not taken."""

    number: int
    outcome: Outcome | None


class TeamDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What a team has in a pool: permits out, and requests waiting."""

    team: str
    n_running: int
    n_waiting: int


class ReplicasRequest(PeerMessage):
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


class ReplicasReply(PeerMessage):
    """The members of the log."""

    number: int
    leader_id: str
    term: int
    replicas: tuple[ReplicaStatus, ...]


class PoolDemand(PeerMessage):
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


class AllotmentRecall(PeerMessage):
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


class RebootOrder(PeerMessage):
    """The leader asks an entry to have the platform reboot a drained VM.

    `operation_id` is the same for a resend, and the platform reboots once for it.
    """

    vm: str
    wave: str
    operation_id: str


class RebootDone(PeerMessage):
    """The platform has taken (or refused) the reboot."""

    vm: str
    wave: str
    operation_id: str
    accepted: bool
    reason: str = ""


class VmDrained(PeerMessage):
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


LeaderMessage = (
    LeaseRenewal
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
)
