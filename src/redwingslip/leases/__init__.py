"""Leases of entries: the right to accept keyed work under a current view."""

from ..settings import LeaseSettings
from ._change_log import ChangeLog
from ._granter import LeaseGranter
from ._holder import LeaseHolder

__all__ = ["ChangeLog", "LeaseGranter", "LeaseHolder", "LeaseSettings"]
