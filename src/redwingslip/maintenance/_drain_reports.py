"""Which VMs their dispatchers have found drained."""

from collections.abc import Callable

from ..fleet import FleetView, VmRecord
from ..peers._messages import VmDrained

__all__ = ["DrainReports"]


class DrainReports:
    """The latest word of the dispatchers on VMs that are drained.

    It is not part of the replicated state: a dispatcher repeats its word, so a new
    leader hears it again.
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, VmDrained] = {}

    def record(self, msg: VmDrained) -> None:
        """Keep a dispatcher's word."""
        self._reports[msg.vm] = msg

    def is_drained(self, view: FleetView, record: VmRecord) -> bool:
        """Return whether the present dispatcher holds no permit on a draining VM."""
        report = self._reports.get(record.name)
        lease = view.dispatchers.get(record.pool)
        if report is None or lease is None:
            return False
        if report.drain_index != record.drain_index:
            return False
        return (report.pool, report.epoch) == (record.pool, lease.epoch)

    def retain(self, is_draining: Callable[[str], bool]) -> None:
        """Forget the words on VMs that are not in a drain any more."""
        self._reports = {
            vm: msg for vm, msg in self._reports.items() if is_draining(vm)
        }
