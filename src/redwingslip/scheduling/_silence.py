"""What a leader records of VMs that do not answer until their lease has expired."""

from datetime import timedelta

from ..jobs import RecordEnds, VmRecord
from ..observe import EventName
from ..workers import VmLease
from ._term import Term

__all__ = ["VmSilence"]


class VmSilence:
    """The silences of one incarnation of a VM.

    Tasks that it had started shortly before are suspected of having crashed it, until
    it answers again or is known to have ended.

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

    def is_recorded(self) -> bool:
        """Return whether any task is suspected, since the incarnation fell silent."""
        silent_vms = self._term.state.silent_vms
        return silent_vms.find(self._vm.vm_id, self._vm.born_ms) is not None

    def report(self, now: timedelta, *, n_runs: int) -> None:
        """Log that the lease of the silent VM has expired, with runs on it."""
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

    async def note_answer(self, now: timedelta, *, was_recorded: bool) -> None:
        """Handle an answer of the incarnation, which has not crashed.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        was_recorded : bool
            Whether its silence was recorded before the call that it answers was sent.
        """
        if was_recorded or self._has_expired:
            self._report_answer(now)
        if was_recorded:
            command = RecordEnds(
                vm_id=self._vm.vm_id,
                born_ms=self._vm.born_ms,
                ends=(),
                now_ms=self._term.now_ms(),
                is_alive=True,
            )
            await self._term.propose_or_log(command)

    def _report_answer(self, now: timedelta) -> None:
        """Log that the VM answers again."""
        self._has_expired = False
        silent = now - self._lease.contact_at
        self._term.metrics.add_vm_silence(outcome="answered")
        self._term.emit(
            EventName.VM_ANSWERED,
            vm=self._vm.vm_id,
            detail=f"incarnation {self._vm.born_ms} answers again after "
            f"{silent.total_seconds():.2f} s",
        )
