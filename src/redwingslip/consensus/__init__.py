"""Consensus: a Raft replicated log without I/O, and its asyncio driver."""

from ._bootstrap import BootstrapRound
from ._core import Envelope
from ._folder import DataFolder, bootstrap_data_folder
from ._machine import StateMachine
from ._messages import *  # noqa: F403
from ._messages import __all__ as _messages_all
from ._node import RaftNode
from ._ready import Ready
from ._records import HardState, Identity, LogStart, Save, Snapshot, StoredState
from ._replica import Replica
from ._settings import ConsensusSettings
from .exceptions import (
    BootstrapRefusedError,
    ConsensusError,
    DataFolderError,
    NotLeaderError,
    ProposalOutcomeUnknownError,
    ReplicaFailedError,
)

__all__ = [
    "ConsensusError",
    "ConsensusSettings",
    "DataFolder",
    "DataFolderError",
    "Envelope",
    "BootstrapRefusedError",
    "BootstrapRound",
    "HardState",
    "Identity",
    "LogStart",
    "NotLeaderError",
    "ProposalOutcomeUnknownError",
    "RaftNode",
    "Ready",
    "Replica",
    "ReplicaFailedError",
    "Save",
    "Snapshot",
    "StateMachine",
    "StoredState",
    "bootstrap_data_folder",
    *_messages_all,
]
