"""Calls of VMs that other controllers make for the leader.

The leader places, records and decides; its delegates exchange the calls with the VMs.
"""

from ._delegate import OrderDelegate
from ._orders import DelegatedOrders
from ._settings import DelegationSettings

__all__ = ["DelegatedOrders", "DelegationSettings", "OrderDelegate"]
