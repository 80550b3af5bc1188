"""Leases of entries: an entry with a valid lease has a current view of the fleet.

Only with a valid lease does an entry accept requests with a key, since it checks the
key against its view.
"""

from ..settings import LeaseSettings
from ._change_log import ChangeLog
from ._granter import LeaseGranter
from ._holder import LeaseHolder

__all__ = ["ChangeLog", "LeaseGranter", "LeaseHolder", "LeaseSettings"]
