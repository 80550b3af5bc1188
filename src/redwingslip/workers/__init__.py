"""The leader's view of a VM's incarnation: clock, lease, health and progress."""

from ._health import HealthSettings, VmHealth
from ._lease import LeaseSettings, VmLease
from ._progress import ProgressSettings, RunProgress
from ._run_times import RunTimeModel, RunTimeSettings, StepKey

__all__ = [
    "HealthSettings",
    "LeaseSettings",
    "ProgressSettings",
    "RunProgress",
    "RunTimeSettings",
    "RunTimeModel",
    "StepKey",
    "VmHealth",
    "VmLease",
]
