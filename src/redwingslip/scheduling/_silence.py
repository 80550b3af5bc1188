"""Reports of VMs whose lease expired without an answer, and of their return."""

from datetime import timedelta

from ..jobs import VmRecord
from ..observe import EventName
from ..workers import VmLease
from ._term import Term

__all__ = ["SilenceReporter"]


class SilenceReporter:
    """Logs and counts the silences of one incarnation of a VM.

    Parameters
    ----------
    vm : VmRecord
        The incarnation.
    lease : VmLease
        Its lease, which holds the time of the last contact.
    term : Term
        The term of this leader.
    """

    __slots__ = ("_has_expired", "_lease", "_term", "_vm")

    def __init__(self, vm: VmRecord, *, lease: VmLease, term: Term) -> None:
        self._vm = vm
        self._lease = lease
        self._term = term
        self._has_expired = False

    def report_expiry(self, now: timedelta, *, n_runs: int) -> None:
        """Report that the lease of the silent VM has expired, with runs on it."""
        self._has_expired = True
        silent = now - self._lease.contact_at
        term_age = now - self._term.started_at
        self._term.metrics.add_vm_silence(outcome="expired")
        self._term.emit(
            EventName.VM_SILENT,
            vm=self._vm.vm_id,
            detail=f"incarnation {self._vm.born_ms} has not answered for "
            f"{silent.total_seconds():.2f} s and its lease has expired; {n_runs} runs "
            f"lost; the term began {term_age.total_seconds():.2f} s ago",
        )

    def report_answer(self, now: timedelta) -> None:
        """Report the first answer after a reported expiry; the VM had not ended."""
        if not self._has_expired:
            return
        self._has_expired = False
        silent = now - self._lease.contact_at
        self._term.metrics.add_vm_silence(outcome="answered")
        self._term.emit(
            EventName.VM_ANSWERED,
            vm=self._vm.vm_id,
            detail=f"incarnation {self._vm.born_ms} answers again after "
            f"{silent.total_seconds():.2f} s",
        )
