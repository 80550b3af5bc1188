"""The encoded form of the whole state."""

import msgspec

from ._evacuations import Evacuations
from ._left_vms import LeftVms
from ._machine_orders import MachineOrders
from ._plan import Plan
from ._records import JobRecord, VmRecord, WaveRecord
from ._removed import RemovedEntries

__all__ = ["Snapshot"]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole state; snapshots of earlier versions lack fields with a default."""

    plan: Plan
    jobs: tuple[JobRecord, ...]
    vms: tuple[VmRecord, ...]
    waves: tuple[WaveRecord, ...]
    machine_orders: MachineOrders = msgspec.field(default_factory=MachineOrders)
    removed: RemovedEntries = msgspec.field(default_factory=RemovedEntries)
    early_cancels: tuple[tuple[str, str, int], ...] = ()
    left_vms: LeftVms = msgspec.field(default_factory=LeftVms)
    evacuations: Evacuations = msgspec.field(default_factory=Evacuations)
