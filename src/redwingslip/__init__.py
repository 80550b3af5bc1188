"""Fleet capacity and maintenance manager.

A library of coordination modules (consensus, leases, dispatch, quotas, maintenance)
and the daemons that run them. Decisions are made by deterministic state machines, which
take an input and a time and return typed outputs.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
