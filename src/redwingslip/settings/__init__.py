"""Settings of the daemons, read from one INI file for each process."""

from ._checks import find_problems, find_warnings
from ._examples import render_example
from ._loader import load_settings, parse_settings
from ._sections import (
    ClusterSettings,
    EndpointsSettings,
    EntryRoleSettings,
    EntrySettings,
    ExporterKind,
    GcSettings,
    HttpSettings,
    LeaseSettings,
    LogSettings,
    MetricsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    ProcessSettings,
    ReplicaRoleSettings,
    ReplicaSettings,
    RequestLogging,
    RequestsSettings,
    TlsSettings,
)
from ._tls import TlsContexts, load_tls
from ._types import Address, Name, Sha256
from ._units import format_duration
from .exceptions import InvalidSettingsError, SettingsError

__all__ = [
    "Address",
    "ClusterSettings",
    "EndpointsSettings",
    "EntryRoleSettings",
    "EntrySettings",
    "ExporterKind",
    "GcSettings",
    "HttpSettings",
    "InvalidSettingsError",
    "LeaseSettings",
    "LogSettings",
    "MetricsSettings",
    "Name",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "ProcessSettings",
    "ReplicaRoleSettings",
    "ReplicaSettings",
    "RequestLogging",
    "RequestsSettings",
    "SettingsError",
    "Sha256",
    "TlsContexts",
    "TlsSettings",
    "find_problems",
    "format_duration",
    "find_warnings",
    "load_settings",
    "load_tls",
    "parse_settings",
    "render_example",
]
