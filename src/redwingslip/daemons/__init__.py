"""The daemons: application objects that can be embedded, and their processes.

The public names are imported on first use, so that each process loads only the modules
of its role.
"""

import importlib

from ._main import run_controller, run_entry, run_gateway, run_replica

__all__ = [
    "ControllerApp",
    "ControllerSettings",
    "EntryApp",
    "EntryDaemonSettings",
    "GatewayApp",
    "GatewaySettings",
    "ReplicaApp",
    "ReplicaDaemonSettings",
    "run_controller",
    "run_entry",
    "run_gateway",
    "run_replica",
]

_MODULES = {
    "ControllerApp": "._controller",
    "ControllerSettings": "._fleet_settings",
    "GatewayApp": "._gateway",
    "GatewaySettings": "._fleet_settings",
    "EntryApp": "._entry",
    "EntryDaemonSettings": "._entry_settings",
    "ReplicaApp": "._replica",
    "ReplicaDaemonSettings": "._replica_settings",
}


def __getattr__(name: str) -> object:
    """Import a public name from the module that defines it."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name], __name__), name)
