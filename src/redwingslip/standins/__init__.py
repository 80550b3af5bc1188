"""Stand-ins for external systems: endpoints, the platform and a faulty network."""

from ._announcer import AnnouncerSettings
from ._endpoint import EndpointSettings, EndpointStandin
from ._main import endpoint_main, relay_main
from ._platform import PlatformStandin
from ._record import RunRecord, RunRecorder
from ._relay import RelayMode, TcpRelay
from ._work import Mode, Work

__all__ = [
    "AnnouncerSettings",
    "EndpointSettings",
    "EndpointStandin",
    "Mode",
    "PlatformStandin",
    "RelayMode",
    "RunRecord",
    "RunRecorder",
    "TcpRelay",
    "Work",
    "endpoint_main",
    "relay_main",
]
