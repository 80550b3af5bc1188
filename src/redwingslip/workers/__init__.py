"""What the leader knows of each life of an endpoint: its clock, its lease, its health."""

from ._health import HealthSettings, VmHealth
from ._lease import LeaseSettings, VmLease

__all__ = ["HealthSettings", "LeaseSettings", "VmHealth", "VmLease"]
