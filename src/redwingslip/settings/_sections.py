"""The sections of the settings files."""

import enum
from datetime import timedelta
from pathlib import Path
from typing import Annotated, ClassVar

import msgspec

from ._types import Address, Name, Sha256

__all__ = [
    "ClusterSettings",
    "EndpointsSettings",
    "EntryRoleSettings",
    "EntrySettings",
    "ExporterKind",
    "GcSettings",
    "HttpSettings",
    "LeaseSettings",
    "LogSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "ProcessSettings",
    "ReplicaRoleSettings",
    "ReplicaSettings",
    "RequestLogging",
    "RequestsSettings",
    "TlsSettings",
]

ProcessId = Annotated[Name, msgspec.Meta(examples=["entry-1"])]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class RequestLogging(enum.StrEnum):
    """Which events of individual requests are logged."""

    ALL = "all"
    PROBLEMS = "problems"
    OFF = "off"


class ExporterKind(enum.StrEnum):
    """Where metrics are exported to."""

    NONE = "none"
    CONSOLE = "console"
    JSON_FILE = "json-file"
    PROMETHEUS = "prometheus"


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and location of this process.

    Attributes
    ----------
    id : str
        Name of the process, unique in the system.
    data_centre : str
        Data centre in which the process's VM runs.
    region : str
        Region of the data centre.
    """

    id: ProcessId
    data_centre: Annotated[Name, msgspec.Meta(examples=["dc-1"])]
    region: Name = "default"


class PeersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address on which this process listens for the system's other processes.

    Attributes
    ----------
    listen : str
        IP address and port to listen on; the other processes connect to it.
    """

    listen: Annotated[Address, msgspec.Meta(examples=["127.0.0.1:7101"])]


class HttpSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address on which this entry serves callers, endpoints and operators.

    Attributes
    ----------
    listen : str
        IP address and port to listen on.
    """

    listen: Annotated[Address, msgspec.Meta(examples=["127.0.0.1:8101"])]


class EntryRoleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that only an entry has.

    Attributes
    ----------
    drain_grace : timedelta
        How long a planned stop waits for accepted requests to finish.
    """

    drain_grace: timedelta = timedelta(seconds=60)


class ReplicaRoleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that only a replica has.

    Attributes
    ----------
    data_folder : Path
        Folder that holds the replica's identity, log and snapshots.
    """

    data_folder: Annotated[Path, msgspec.Meta(examples=["data/replica-1"])]


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Leases of the entries; must be the same in all processes.

    Attributes
    ----------
    duration : timedelta
        How long a lease is valid at its holder, counted from the request for it.
    renewal : timedelta
        Interval at which the holder requests a new lease.
    margin : timedelta
        Time that the granter waits beyond the duration, because clocks may run at
        different rates.
    """

    duration: timedelta = timedelta(milliseconds=1500)
    renewal: timedelta = timedelta(milliseconds=300)
    margin: timedelta = timedelta(milliseconds=200)


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform that reboots VMs.

    Attributes
    ----------
    address : str or None
        IP address and port of the platform's interface; with none, every reboot is
        refused.
    """

    address: Address | None = None


class OperatorsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that authorise the use of the operators' interface.

    Attributes
    ----------
    token_sha256 : tuple of str
        SHA-256 of each operator's token.
    """

    token_sha256: Annotated[
        tuple[Sha256, ...], msgspec.Meta(min_length=1, examples=[["0" * 64]])
    ]


class EndpointsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that authorise announcing an endpoint.

    Attributes
    ----------
    token_sha256 : tuple of str
        SHA-256 of each token that endpoints present.
    """

    token_sha256: Annotated[
        tuple[Sha256, ...], msgspec.Meta(min_length=1, examples=[["1" * 64]])
    ]


class ClusterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Authentication of the system's processes to each other.

    Attributes
    ----------
    secret_file : Path
        File with the secret that all processes share.
    """

    secret_file: Annotated[Path, msgspec.Meta(examples=["secrets/cluster"])]


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Transport encryption.

    Attributes
    ----------
    enabled : bool
        Whether connections are encrypted; the process warns when they are not.
    certificate : Path or None
        This process's certificate chain, PEM.
    key : Path or None
        The certificate's private key, PEM.
    authority : Path or None
        Certificates of the authorities that sign the peers' certificates, PEM.
    """

    enabled: bool = True
    certificate: Annotated[Path | None, msgspec.Meta(examples=["tls/process.pem"])] = (
        None
    )
    key: Annotated[Path | None, msgspec.Meta(examples=["tls/process.key"])] = None
    authority: Annotated[Path | None, msgspec.Meta(examples=["tls/authority.pem"])] = (
        None
    )


class RequestsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Handling of callers' requests; must be the same in all entries.

    Attributes
    ----------
    claim_window : timedelta
        How long the outcome of a non-idempotent request is kept to answer resends.
    retry_budget : float
        Largest fraction of all calls that may be retries; beyond it, a failed call is
        not retried.
    max_recorded_answer_bytes : int
        Size of the longest answer that is kept to answer resends; of a longer one,
        only the fact that the request was done is kept.
    """

    claim_window: timedelta = timedelta(hours=1)
    retry_budget: Fraction = 0.1
    max_recorded_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 10


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The event log, from which the timeline is built; JSON lines.

    Attributes
    ----------
    path : Path or None
        Path of the log file; none for no file.
    to_stdout : bool
        Whether lines are written to standard output if there is no file.
    max_pending_lines : int
        Maximum number of lines that wait for a slow reader of standard output; further
        lines are dropped.
    requests : RequestLogging
        Which events of individual requests are logged: all, problems or off.
    max_file_bytes : int
        Size at which the file is renamed to end in .1 and a new one is begun.
    """

    path: Path | None = None
    to_stdout: bool = False
    max_pending_lines: Annotated[int, msgspec.Meta(ge=1)] = 5_000
    requests: RequestLogging = RequestLogging.ALL
    max_file_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 64 << 20


class MetricsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Export of metrics with OpenTelemetry.

    Attributes
    ----------
    exporter : ExporterKind
        Where metrics are exported to: none, console or json-file; prometheus serves
        them as text to collectors that scrape them.
    listen : str or None
        IP address and port on which the exporter prometheus serves metrics.
    path : Path or None
        File that the exporter json-file writes, JSON lines.
    interval : timedelta
        Interval at which metrics are exported.
    """

    exporter: ExporterKind = ExporterKind.NONE
    listen: Address | None = None
    path: Path | None = None
    interval: timedelta = timedelta(seconds=15)


class GcSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The garbage collector, which stops the process while it runs.

    Attributes
    ----------
    young_objects : int
        Number of new objects after which the youngest ones are collected. Fewer make
        shorter and more pauses; more keep garbage for longer.
    full_interval : timedelta
        Interval at which all objects are collected, which bounds the memory that
        garbage takes.
    """

    young_objects: Annotated[int, msgspec.Meta(ge=100)] = 50_000
    full_interval: timedelta = timedelta(seconds=30)


Replicas = Annotated[
    dict[Name, Address],
    msgspec.Meta(
        min_length=1,
        examples=[{f"replica-{n}": f"127.0.0.1:{7000 + n}" for n in (1, 2, 3)}],
    ),
]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an entry daemon."""

    process: ProcessSettings
    peers: PeersSettings
    replicas: Replicas
    http: HttpSettings
    operators: OperatorsSettings
    endpoints: EndpointsSettings
    cluster: ClusterSettings
    tls: TlsSettings = TlsSettings()
    entry: EntryRoleSettings = EntryRoleSettings()
    platform: PlatformSettings = PlatformSettings()
    leases: LeaseSettings = LeaseSettings()
    requests: RequestsSettings = RequestsSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    gc: GcSettings = GcSettings()


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a replica daemon."""

    EXAMPLES: ClassVar[dict[tuple[str, str], str]] = {
        ("process", "id"): "replica-1",
        ("peers", "listen"): "127.0.0.1:7001",
    }

    process: ProcessSettings
    peers: PeersSettings
    replicas: Replicas
    replica: ReplicaRoleSettings
    cluster: ClusterSettings
    tls: TlsSettings = TlsSettings()
    leases: LeaseSettings = LeaseSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    gc: GcSettings = GcSettings()
