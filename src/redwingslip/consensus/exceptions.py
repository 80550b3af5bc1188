"""Errors of the consensus layer."""

from ..exceptions import RedwingslipError

__all__ = [
    "ConsensusError",
    "DataFolderError",
    "BootstrapRefusedError",
    "NotLeaderError",
    "ProposalOutcomeUnknownError",
    "ReplicaFailedError",
]


class ConsensusError(RedwingslipError):
    """Base of the consensus errors."""


class NotLeaderError(ConsensusError):
    """The proposal was rejected, since this replica does not lead.

    Parameters
    ----------
    leader_id : str
        Id of the leader, empty when unknown.
    """

    def __init__(self, leader_id: str) -> None:
        super().__init__(f"not the leader; the leader is {leader_id or 'unknown'}")
        self.leader_id = leader_id


class ProposalOutcomeUnknownError(ConsensusError):
    """The leader stepped down first, so the proposal may be committed or not."""


class DataFolderError(ConsensusError):
    """The data folder belongs to another replica, or already holds one."""


class BootstrapRefusedError(ConsensusError):
    """A replica was to bootstrap a cluster that exists without it."""


class ReplicaFailedError(ConsensusError):
    """The replica can't start, or has stopped after an internal failure."""
