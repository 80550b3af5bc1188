"""The dispatchers' reports of drained VMs."""

from collections.abc import Callable

from ..fleet import FleetView, VmRecord
from ..peers._messages import VmDrained

__all__ = ["DrainReports"]


class DrainReports:
    """The latest report for each VM that its dispatcher has found drained.

    The reports are not part of the replicated state. Dispatchers repeat them, so a new
    leader receives them again.
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, VmDrained] = {}

    def record(self, msg: VmDrained) -> None:
        """Store a dispatcher's report."""
        self._reports[msg.vm] = msg

    def is_drained(self, view: FleetView, record: VmRecord) -> bool:
        """Return whether the current dispatcher has reported this drain as complete.

        A VM is drained when its dispatcher has no open permits for it.
        """
        report = self._reports.get(record.name)
        lease = view.dispatchers.get(record.pool)
        if report is None or lease is None:
            return False
        if report.drain_index != record.drain_index:
            return False
        return (report.pool, report.epoch) == (record.pool, lease.epoch)

    def retain(self, is_draining: Callable[[str], bool]) -> None:
        """Discard the reports on VMs that are no longer draining."""
        self._reports = {
            vm: msg for vm, msg in self._reports.items() if is_draining(vm)
        }
