"""What the leader knows of each life of an endpoint: clock, lease, health, progress."""

from ._health import HealthSettings, VmHealth
from ._lease import LeaseSettings, VmLease
from ._progress import ProgressSettings, RunProgress

__all__ = [
    "HealthSettings",
    "LeaseSettings",
    "ProgressSettings",
    "RunProgress",
    "VmHealth",
    "VmLease",
]
