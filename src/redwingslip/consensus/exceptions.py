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
    """The proposal was not taken, since this replica does not lead.

    Parameters
    ----------
    leader_id : str
        The replica that leads, empty when unknown.
    """

    def __init__(self, leader_id: str) -> None:
        super().__init__(f"not the leader; it is {leader_id or 'unknown'}")
        self.leader_id = leader_id


class ProposalOutcomeUnknownError(ConsensusError):
    """The proposal may be committed or not: its leader gave up before it knew."""


class DataFolderError(ConsensusError):
    """The data folder is not what the replica was told."""


class BootstrapRefusedError(ConsensusError):
    """A replica that was told to found the log found it already living."""


class ReplicaFailedError(ConsensusError):
    """The replica has stopped, since its storage or state machine failed."""
