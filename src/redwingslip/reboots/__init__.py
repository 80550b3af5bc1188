"""Reboots: client of the platform that reboots VMs, over the product's own API."""

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
