"""Settings of the replica daemon, including those of its components."""

from ..consensus import ConsensusSettings
from ..maintenance import MoveSettings, WaveSettings
from ..peers import PeerSettings
from ..quota import QuotaSettings
from ..settings import ReplicaSettings

__all__ = ["ReplicaDaemonSettings"]


class ReplicaDaemonSettings(ReplicaSettings, frozen=True, kw_only=True):
    """Settings of a replica daemon."""

    consensus: ConsensusSettings = ConsensusSettings()
    quota: QuotaSettings = QuotaSettings()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    links: PeerSettings = PeerSettings()
