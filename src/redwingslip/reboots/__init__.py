"""Reboots: the product's own interface for what runs its VMs."""

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
