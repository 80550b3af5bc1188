"""The leader's view of a VM's incarnation: clock, lease, health and progress."""

from ._health import HealthSettings, VmHealth
from ._lease import LeaseSettings, VmLease
from ._progress import ProgressSettings, RunProgress
from ._run_times import RunTimeExpectation, RunTimeModel, RunTimeSettings, StepKey
from ._speed_types import Excess, MachineSpeed, SpeedChange, SpeedSettings
from ._speeds import SpeedModel

__all__ = [
    "Excess",
    "HealthSettings",
    "LeaseSettings",
    "MachineSpeed",
    "ProgressSettings",
    "RunProgress",
    "RunTimeExpectation",
    "RunTimeModel",
    "RunTimeSettings",
    "SpeedChange",
    "SpeedModel",
    "SpeedSettings",
    "StepKey",
    "VmHealth",
    "VmLease",
]
