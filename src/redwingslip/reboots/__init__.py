"""Reboots: client of the platform that reboots VMs, over the product's own API.

The package `platform` is for the API that the users' platform defines.
"""

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
