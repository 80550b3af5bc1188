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
    """An entry's request to the leader for a lease and for the latest changes.

    Attributes
    ----------
    number : int
        Number of the renewal within this incarnation; the grant repeats it.
    applied_index : int
        Log index up to which the entry's view has applied the changes.
    stopping : bool
        Whether the entry only finishes its present work and dispatches no further
        pool.
    leaving : bool
        Whether the entry has finished and releases its lease.
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
    """The leader's answer to a renewal: changes of the view up to `index`, and a lease.

    The lease counts from the time at which the entry sent the renewal.

    Attributes
    ----------
    duration : timedelta
        Duration of the lease; zero if none is granted yet. The changes are valid in
        both cases.
    from_index : int
        Log index after which the changes begin; the entry's view must have reached it.
    snapshot : ViewSnapshot or None
        The whole view, sent instead of changes; None if changes are sent.
    in_force_index : int
        Log index up to which everything is in force on every entry.
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
    """Answer of a replica that does not lead; `leader_id` is empty if not known."""

    leader_id: str
    address: str


class Proposal(PeerMessage):
    """A command that an entry proposes to the leader."""

    number: int
    command: Command


class ProposalReply(PeerMessage):
    """Outcome of a committed command; None if the replica did not accept it."""

    number: int
    outcome: Outcome | None


class TeamDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of a team's granted permits and waiting requests in a pool."""

    team: str
    n_running: int
    n_waiting: int


class ReplicasRequest(PeerMessage):
    """An entry's request to the leader for the status of the replicas."""

    number: int


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a replica of the log, as the leader knows it.

    Attributes
    ----------
    incarnation : str
        Incarnation of the replica; a new one starts after the loss of its disk.
    voting : bool
        False for a learner.
    repaired : bool
        Whether the replica votes and has synced to its disk everything that was
        committed until it became a voter.
    """

    replica_id: str
    incarnation: str
    address: str
    voting: bool
    repaired: bool


class ReplicasReply(PeerMessage):
    """The leader's answer to `ReplicasRequest`."""

    number: int
    leader_id: str
    term: int
    replicas: tuple[ReplicaStatus, ...]


class PoolDemand(PeerMessage):
    """A dispatcher's report to the leader of the demand on its pool.

    Attributes
    ----------
    teams : tuple of TeamDemand
        Demand of each team.
    n_slots : int
        Number of slots on the endpoints that can accept work.
    n_idle : int
        Number of these slots that are free.
    """

    pool: str
    epoch: int
    teams: tuple[TeamDemand, ...]
    n_slots: int
    n_idle: int


class AllotmentRecall(PeerMessage):
    """The leader's request to a dispatcher to return the unused part of an allotment.

    Attributes
    ----------
    count : int
        Requested new size of the allotment, below the present size.
    """

    team: str
    pool: str
    epoch: int
    count: int


class RebootOrder(PeerMessage):
    """The leader's order to an entry to have the platform reboot a drained VM.

    A resent order carries the same `operation_id`, for which the platform reboots the
    VM only once.
    """

    vm: str
    wave: str
    operation_id: str


class RebootDone(PeerMessage):
    """An entry's report that the platform has accepted or refused a reboot."""

    vm: str
    wave: str
    operation_id: str
    accepted: bool
    reason: str = ""


class VmDrained(PeerMessage):
    """A dispatcher's report that it holds no permit on a draining VM.

    The VM is to leave or to be rebooted.

    Attributes
    ----------
    drain_index : int
        Log index at which the reported drain started; tells it from a newer drain.
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
