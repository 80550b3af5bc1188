"""Gradual use of VMs after the evacuation of their data centre, as they may be cold."""

from datetime import timedelta

from ..jobs import NO_AMOUNTS, Amounts, VmRecord
from ._settings import EvacuationSettings
from ._term import Term

__all__ = ["CapacityRamp"]

MS = timedelta(milliseconds=1)


class CapacityRamp:
    """Limits what new tasks may use of VMs whose data centre was evacuated lately.

    Parameters
    ----------
    term : Term
        The term of this leader.
    cfg : EvacuationSettings
        The settings.
    """

    __slots__ = ("_cfg", "_inherited", "_state", "_term")

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

    def share(self, data_centre: str) -> float:
        """Return the share of the capacity of each VM there that new tasks may use."""
        ended_ms = self._state.evacuations.finished.get(data_centre)
        if ended_ms is None or self._cfg.ramp <= timedelta(0):
            return 1.0
        began_ms = self._inherited.get((data_centre, ended_ms), ended_ms)
        progress = (self._term.now_ms() - began_ms) * MS / self._cfg.ramp
        first = self._cfg.first_share
        return min(1.0, first + (1 - first) * max(0.0, progress))

    def usable(self, vm: VmRecord, used: Amounts) -> Amounts:
        """Return what new tasks may use of a VM; amounts may be negative.

        Parameters
        ----------
        vm : VmRecord
            The VM.
        used : Amounts
            What its runs use. Those that began before the end of the evacuation don't
            count against the limit.
        """
        free = vm.capacity - used
        share = self.share(vm.data_centre)
        if share >= 1:
            return free
        ended_ms = self._state.evacuations.finished[vm.data_centre]
        new = NO_AMOUNTS
        for run in self._state.runs_of(vm.vm_id, vm.born_ms):
            if run.started_ms >= ended_ms:
                new = new + self._state.step(run.key).reserved
        capacity = vm.capacity
        limit = Amounts(
            int(share * capacity.cpu),
            int(share * capacity.memory_mb),
            int(share * capacity.accelerators),
        )
        rest = limit - new
        return Amounts(
            min(free.cpu, rest.cpu),
            min(free.memory_mb, rest.memory_mb),
            min(free.accelerators, rest.accelerators),
        )
