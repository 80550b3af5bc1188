"""Leases of the entries: the right to take keyed work under a current view."""

from ..settings import LeaseSettings
from ._change_log import ChangeLog
from ._granter import LeaseGranter
from ._holder import LeaseHolder

__all__ = ["ChangeLog", "LeaseGranter", "LeaseHolder", "LeaseSettings"]
