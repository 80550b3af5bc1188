"""Platform: the reboots of VMs."""

from ._client import PlatformClient, PlatformSettings, VmPower, VmState
from .exceptions import (
    PlatformError,
    PlatformRefusedError,
    PlatformUnavailableError,
)

__all__ = [
    "PlatformClient",
    "PlatformError",
    "PlatformRefusedError",
    "PlatformSettings",
    "PlatformUnavailableError",
    "VmPower",
    "VmState",
]
