"""Gradual use of VMs that may be cold: after an evacuation, or by their own report."""

from datetime import timedelta

from ..jobs import NO_AMOUNTS, Amounts, VmRecord
from ._settings import EvacuationSettings
from ._term import Term

__all__ = ["CapacityRamp"]

MS = timedelta(milliseconds=1)


class CapacityRamp:
    """Limits what new tasks may use of VMs that may be cold.

    These are the VMs whose data centre was evacuated lately, and, by a setting, those
    that report it.

    Parameters
    ----------
    term : Term
        The term of this leader.
    cfg : EvacuationSettings
        The settings.
    """

    __slots__ = ("_cfg", "_cold", "_inherited", "_state", "_term")

    def __init__(self, term: Term, cfg: EvacuationSettings) -> None:
        self._term = term
        self._state = term.state
        self._cfg = cfg
        # The clock of the earlier leader may have been ahead of this one, which would
        # lengthen the ramp.
        now_ms = term.now_ms()
        self._inherited = {
            (name, ended_ms): min(ended_ms, now_ms)
            for name, ended_ms in term.state.evacuations.finished.items()
        }
        # By incarnation, the Unix times of the first report that it is cold, and of the
        # end that the last report names.
        self._cold: dict[tuple[str, int], tuple[int, int]] = {}

    def note_cold(self, vm: VmRecord, remaining_ms: int) -> None:
        """Record the report of a VM that it is cold for some more time."""
        if not self._cfg.follows_cold_reports:
            return
        now_ms = self._term.now_ms()
        self._cold = {k: times for k, times in self._cold.items() if times[1] > now_ms}
        identity = (vm.vm_id, vm.born_ms)
        if remaining_ms > 0:
            since_ms, _ = self._cold.get(identity, (now_ms, 0))
            self._cold[identity] = (since_ms, now_ms + remaining_ms)
        else:
            self._cold.pop(identity, None)

    def share(self, vm: VmRecord) -> float:
        """Return the share of a VM's capacity that new tasks may use."""
        return min((share for share, _ in self._limits(vm)), default=1.0)

    def usable(self, vm: VmRecord, used: Amounts) -> Amounts:
        """Return what new tasks may use of a VM; amounts may be negative.

        Parameters
        ----------
        vm : VmRecord
            The VM.
        used : Amounts
            What its runs use. Those that began before the VM was limited don't count
            against the limit.
        """
        free = vm.capacity - used
        for share, since_ms in self._limits(vm):
            new = NO_AMOUNTS
            for run in self._state.runs_of(vm.vm_id, vm.born_ms):
                if run.started_ms >= since_ms:
                    new = new + self._state.step(run.key).reserved
            capacity = vm.capacity
            limit = Amounts(
                int(share * capacity.cpu),
                int(share * capacity.memory_mb),
                int(share * capacity.accelerators),
            )
            rest = limit - new
            free = Amounts(
                min(free.cpu, rest.cpu),
                min(free.memory_mb, rest.memory_mb),
                min(free.accelerators, rest.accelerators),
            )
        return free

    def _limits(self, vm: VmRecord) -> list[tuple[float, int]]:
        """Return the shares below 1, with the Unix time since which runs are new."""
        finished = self._state.evacuations.finished
        if self._cfg.ramp <= timedelta(0) or not (finished or self._cold):
            return []
        now_ms = self._term.now_ms()
        limits = []
        ended_ms = finished.get(vm.data_centre)
        if ended_ms is not None:
            began_ms = self._inherited.get((vm.data_centre, ended_ms), ended_ms)
            limits.append((self._share_at(now_ms - began_ms), ended_ms))
        cold = self._cold.get((vm.vm_id, vm.born_ms))
        if cold is not None:
            since_ms, until_ms = cold
            elapsed_ms = self._cfg.ramp // MS - (until_ms - now_ms)
            limits.append((self._share_at(elapsed_ms), since_ms))
        return [(share, since_ms) for share, since_ms in limits if share < 1]

    def _share_at(self, elapsed_ms: int) -> float:
        """Return the share at a time after the beginning of the ramp."""
        # A VM may report a time that no timedelta can hold.
        progress = max(0, elapsed_ms) * MS / self._cfg.ramp
        return min(1.0, self._cfg.first_share + (1 - self._cfg.first_share) * progress)
