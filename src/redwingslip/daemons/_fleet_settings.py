"""Settings of the gateway and the controller daemons."""

from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Annotated, ClassVar

import msgspec

from ..consensus import ConsensusSettings
from ..delegation import DelegationSettings
from ..http import HttpLimits
from ..peers import PeerSettings
from ..placement import (
    AdmissionSettings,
    ArrivalSettings,
    ForecastSettings,
    LocalitySettings,
    SizingSettings,
)
from ..relay import RelaySettings
from ..scheduling import (
    AdviceSettings,
    AgentSettings,
    EvacuationSettings,
    LeaderPolicy,
    MoveSettings,
    SchedulingSettings,
    VmPolicy,
    WaveSettings,
)
from ..settings import (
    Address,
    GcSettings,
    LogSettings,
    MetricsSettings,
    PeersSettings,
    ProcessSettings,
    ReplicaRoleSettings,
    SettingsError,
    Sha256,
    TlsSettings,
    find_problems,
    format_duration,
)
from ..workers import HealthSettings, LeaseSettings, ProgressSettings, SpeedSettings
from ._http_checks import shared_addresses

__all__ = [
    "CloudSettings",
    "ControllerSettings",
    "FleetClusterSettings",
    "FleetSettings",
    "GatewaySettings",
]


# Some hundred ordinary jobs. With less, ended jobs alone would fill it.
MIN_JOB_BYTES = 8 << 20


class FleetClusterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the system's processes discover and authenticate each other.

    Attributes
    ----------
    secret_file : Path
        File with the secret that all processes share.
    seeds : tuple of str
        Addresses for HTTP calls of some controllers, as in their setting ``calls``.
        These controllers listen for peers on the same port as this process.
    is_founding : bool
        Whether the system starts for the first time: seeds without a data folder then
        bootstrap a new log.
    """

    secret_file: Annotated[Path, msgspec.Meta(examples=["secrets/cluster"])]
    seeds: Annotated[
        tuple[Address, ...], msgspec.Meta(min_length=1, examples=[["127.0.0.1:8201"]])
    ]
    is_founding: bool = False


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses at which HTTP calls are accepted.

    Attributes
    ----------
    calls : str
        IP address and port, on a gateway for callers and on a controller for endpoints
        and operators.
    readiness : str or None
        Where a gateway reports whether it accepts new connections.
    submitters : str or None
        Where a gateway serves the product's own interface for jobs; none turns it off.
    operators : str or None
        Where a controller serves the product's own interface for operators; none turns
        it off.
    """

    calls: Annotated[Address, msgspec.Meta(examples=["127.0.0.1:8201"])]
    readiness: Address | None = None
    submitters: Address | None = None
    operators: Address | None = None


class CloudSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The services of the platform that runs the machines.

    Attributes
    ----------
    address : str or None
        IP address and port of the platform's interface; with none, machines are
        neither moved nor maintained.
    advice : str or None
        IP address and port of the service that advises which VMs may run a step.
    """

    address: Address | None = None
    advice: Address | None = None


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that gateways and controllers share."""

    process: ProcessSettings
    peers: PeersSettings
    cluster: FleetClusterSettings
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
    gc: GcSettings = GcSettings()

    @property
    def replicas(self) -> dict[str, str]:
        """Return no replicas: they are discovered through the seeds."""
        return {}

    @property
    def seed_ids(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds listen for peers."""
        port = self.peers.listen.rpartition(":")[2]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.cluster.seeds)


@find_problems.register
def _find_address_problems(cfg: FleetSettings, section: str) -> Iterator[SettingsError]:
    yield from shared_addresses(
        iter(
            (
                ("peers", "listen", cfg.peers.listen),
                ("listen", "calls", cfg.listen.calls),
                ("listen", "readiness", cfg.listen.readiness),
                ("listen", "submitters", cfg.listen.submitters),
                ("listen", "operators", cfg.listen.operators),
                ("metrics", "listen", cfg.metrics.listen),
            )
        )
    )


class DrainSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a process stops.

    Attributes
    ----------
    grace : timedelta
        How long the process waits for calls in progress.
    """

    grace: timedelta = timedelta(seconds=2)


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that authorise the use of a controller's interface for operators.

    Attributes
    ----------
    token_sha256 : tuple of str
        SHA-256 of each operator's token.
    """

    token_sha256: tuple[Sha256, ...] = ()


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
    # The disk timeout is long, since a leader whose own disk hangs can still commit
    # entries through the disks of the other replicas.
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
    delegation: DelegationSettings = DelegationSettings()
    leases: LeaseSettings = LeaseSettings()
    health: HealthSettings = HealthSettings()
    progress: ProgressSettings = ProgressSettings()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    sizing: SizingSettings = SizingSettings()
    arrivals: ArrivalSettings = ArrivalSettings()
    forecast: ForecastSettings = ForecastSettings()
    advice: AdviceSettings = AdviceSettings()
    evacuation: EvacuationSettings = EvacuationSettings()
    operators: ControlSettings = ControlSettings()
    admission: AdmissionSettings = AdmissionSettings()
    locality: LocalitySettings = LocalitySettings()
    speeds: SpeedSettings = SpeedSettings()
    drain: DrainSettings = DrainSettings()

    @property
    def leader(self) -> LeaderPolicy:
        """Return the settings that apply while this controller leads."""
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
            forecast=self.forecast,
            advice=self.advice,
            evacuation=self.evacuation,
            admission=self.admission,
            locality=self.locality,
            speeds=self.speeds,
        )


@find_problems.register
def _(cfg: EvacuationSettings, section: str) -> Iterator[SettingsError]:
    if not 0 < cfg.first_share <= 1:
        yield SettingsError(
            section=section,
            option="first_share",
            value=str(cfg.first_share),
            allowed="above 0 and at most 1",
        )
    for option in ("start_bound", "ramp"):
        if getattr(cfg, option) < timedelta(0):
            yield SettingsError(
                section=section,
                option=option,
                value=format_duration(getattr(cfg, option)),
                allowed="not negative",
            )


@find_problems.register
def _(cfg: SchedulingSettings, section: str) -> Iterator[SettingsError]:
    if cfg.max_job_bytes is not None and cfg.max_job_bytes < MIN_JOB_BYTES:
        yield SettingsError(
            section=section,
            option="max_job_bytes",
            value=f"{cfg.max_job_bytes} B",
            allowed=f"at least {MIN_JOB_BYTES} B, or none",
        )


@find_problems.register
def _(cfg: ControllerSettings, section: str) -> Iterator[SettingsError]:
    yield from _find_address_problems(cfg, section)
    if cfg.listen.operators is not None and not cfg.operators.token_sha256:
        yield SettingsError(
            section="operators",
            option="token_sha256",
            value="",
            allowed="the SHA-256 of a token, as [listen] operators is set",
        )
    if cfg.forecast.enabled and cfg.forecast.max_age > cfg.scheduling.keep_ended:
        yield SettingsError(
            section="forecast",
            option="max_age",
            value=format_duration(cfg.forecast.max_age),
            allowed=f"at most [scheduling] keep_ended, "
            f"{format_duration(cfg.scheduling.keep_ended)}",
        )


@find_problems.register
def _(cfg: SpeedSettings, section: str) -> Iterator[SettingsError]:
    for option, least in (
        ("memory", timedelta(seconds=1)),
        ("interval", timedelta(milliseconds=50)),
        ("retry_interval", timedelta(milliseconds=100)),
    ):
        if getattr(cfg, option) < least:
            yield SettingsError(
                section=section,
                option=option,
                value=format_duration(getattr(cfg, option)),
                allowed=f"at least {format_duration(least)}",
            )


@find_problems.register
def _(cfg: ForecastSettings, section: str) -> Iterator[SettingsError]:
    for option, least in (
        ("reserve_decay", timedelta(seconds=1)),
        ("rise_window", timedelta(milliseconds=200)),
        ("lead", timedelta(milliseconds=100)),
    ):
        if getattr(cfg, option) < least:
            yield SettingsError(
                section=section,
                option=option,
                value=format_duration(getattr(cfg, option)),
                allowed=f"at least {format_duration(least)}",
            )
    for option in ("rise_factor", "max_growth"):
        if getattr(cfg, option) < 1:
            yield SettingsError(
                section=section,
                option=option,
                value=str(getattr(cfg, option)),
                allowed="at least 1",
            )
