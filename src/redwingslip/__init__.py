"""Fleet capacity and maintenance manager.

A library of coordination parts (consensus, leases, dispatch, quotas, maintenance)
with thin daemons beside it. The deciding parts are plain state machines: an input
and a time go in, typed outputs come out.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
