"""Settings of the gateway and the controller daemons."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, ClassVar

import msgspec

from ..consensus import ConsensusSettings
from ..http import HttpLimits
from ..peers import PeerSettings
from ..placement import ArrivalSettings, SizingSettings
from ..relay import RelaySettings
from ..scheduling import (
    AdviceSettings,
    AgentSettings,
    LeaderPolicy,
    MoveSettings,
    SchedulingSettings,
    VmPolicy,
    WaveSettings,
)
from ..settings import (
    Address,
    LogSettings,
    MetricsSettings,
    PeersSettings,
    ProcessSettings,
    ReplicaRoleSettings,
    TlsSettings,
)
from ..workers import HealthSettings, LeaseSettings, ProgressSettings

__all__ = [
    "CloudSettings",
    "ControllerSettings",
    "FleetSettings",
    "GatewaySettings",
    "MeetingSettings",
]


class MeetingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the system's processes find and know each other.

    Attributes
    ----------
    secret_file : Path
        File with the secret that all of them share.
    seeds : tuple of str
        Control addresses of some controllers; their processes listen for others on
        the same port as this one.
    is_founding : bool
        Whether the system starts for the first time.
    """

    secret_file: Annotated[Path, msgspec.Meta(examples=["secrets/cluster"])]
    seeds: Annotated[
        tuple[Address, ...], msgspec.Meta(min_length=1, examples=[["127.0.0.1:8201"]])
    ]
    is_founding: bool = False


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where calls from outside are taken.

    Attributes
    ----------
    calls : str
        IP number and port for callers, or for endpoints and operators.
    readiness : str or None
        Where a gateway says whether it wants new connections.
    submitters : str or None
        Where a gateway serves the product's own interface for jobs.
    """

    calls: Annotated[Address, msgspec.Meta(examples=["127.0.0.1:8201"])]
    readiness: Address | None = None
    submitters: Address | None = None


class CloudSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform that runs the machines.

    Attributes
    ----------
    address : str or None
        IP number and port of its interface; none keeps every machine where it is.
    advice : str or None
        IP number and port of the service that knows which VMs may run a step.
    """

    address: Address | None = None
    advice: Address | None = None


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What both daemons need."""

    process: ProcessSettings
    peers: PeersSettings
    cluster: MeetingSettings
    listen: ListenSettings
    http: HttpLimits = HttpLimits()
    relay: RelaySettings = RelaySettings()
    links: PeerSettings = PeerSettings(
        heartbeat=timedelta(milliseconds=400),
        silence=timedelta(milliseconds=1200),
        max_unsent=64,
    )
    tls: TlsSettings = TlsSettings(enabled=False)
    logs: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()

    @property
    def replicas(self) -> dict[str, str]:
        """Return the replicas that the settings name: none, they are found."""
        return {}

    @property
    def seed_ids(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds' processes listen for others."""
        port = self.peers.listen.rpartition(":")[2]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.cluster.seeds)


class DrainSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a planned stop goes.

    Attributes
    ----------
    grace : timedelta
        How long calls that have begun are waited for.
    """

    grace: timedelta = timedelta(seconds=2)


class GatewaySettings(FleetSettings, frozen=True, kw_only=True):
    """Settings of a gateway daemon."""

    EXAMPLES: ClassVar[dict[tuple[str, str], str]] = {
        ("process", "id"): "gateway-1",
        ("listen", "calls"): "127.0.0.1:8301",
    }

    drain: DrainSettings = DrainSettings()


class ControllerSettings(FleetSettings, frozen=True, kw_only=True):
    """Settings of a controller daemon."""

    EXAMPLES: ClassVar[dict[tuple[str, str], str]] = {("process", "id"): "controller-1"}

    replica: ReplicaRoleSettings
    # A leader commits by the disks of the others while its own one hangs.
    consensus: ConsensusSettings = ConsensusSettings(
        max_voters=5,
        disk_timeout=timedelta(seconds=8),
        election_timeout_min=timedelta(milliseconds=450),
        election_timeout_max=timedelta(milliseconds=900),
        heartbeat_interval=timedelta(milliseconds=100),
    )
    cloud: CloudSettings = CloudSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    agents: AgentSettings = AgentSettings()
    leases: LeaseSettings = LeaseSettings()
    health: HealthSettings = HealthSettings()
    progress: ProgressSettings = ProgressSettings()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    sizing: SizingSettings = SizingSettings()
    arrivals: ArrivalSettings = ArrivalSettings()
    advice: AdviceSettings = AdviceSettings()
    drain: DrainSettings = DrainSettings()

    @property
    def leader(self) -> LeaderPolicy:
        """Return the settings of a leader."""
        return LeaderPolicy(
            scheduling=self.scheduling,
            vms=VmPolicy(
                agents=self.agents,
                leases=self.leases,
                health=self.health,
                progress=self.progress,
            ),
            waves=self.waves,
            moves=self.moves,
            sizing=self.sizing,
            arrivals=self.arrivals,
            advice=self.advice,
        )
