"""The daemons: application objects that anyone can embed, and their processes.

`EntryApp` and `ReplicaApp` are imported from their modules, so that each process
loads only what its role needs.
"""

from ._main import run_entry, run_replica

__all__ = ["run_entry", "run_replica"]
