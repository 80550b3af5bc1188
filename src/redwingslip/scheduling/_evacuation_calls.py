"""Operators' calls that start and finish evacuations of data centres."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from ..jobs import FinishEvacuation, JobsState, StartEvacuation
from ..observe import EventName
from ._settings import EvacuationSettings
from ._term import Term
from .exceptions import UnknownDataCentreError

__all__ = ["EvacuationCalls", "EvacuationStatus"]

MAX_NAME_LENGTH = 255


class EvacuationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuation in progress.

    Attributes
    ----------
    started_ms : int
        Unix time of its start.
    n_vms : int
        VMs in the data centre.
    n_tasks : int
        Long-running tasks that have a run there.
    n_short_tasks : int
        Other tasks that have a run there.
    """

    data_centre: str
    started_ms: int
    n_vms: int
    n_tasks: int
    n_short_tasks: int


class EvacuationCalls:
    """Starts, finishes and lists evacuations.

    Parameters
    ----------
    term : Term
        The term of this leader.
    cfg : EvacuationSettings
        The settings.
    """

    __slots__ = ("_cfg", "_pending", "_state", "_term")

    def __init__(self, *, term: Term, cfg: EvacuationSettings) -> None:
        self._term = term
        self._state = term.state
        self._cfg = cfg
        # Commands in progress by data centre. While there is one, the state does not
        # tell what a further call has to change.
        self._pending: Counter[str] = Counter()

    async def start(self, data_centre: str) -> None:
        """Have nothing started in a data centre; return once that is committed.

        Raises
        ------
        UnknownDataCentreError
            The settings list the data centres, and not this one.
        NotLeadingError
            The call had no effect.
        CommandOutcomeUnknownError
            The call may have had an effect; it can be repeated.
        """
        self._check_known(data_centre)
        if self._is_settled(data_centre, is_evacuated=True):
            return
        command = StartEvacuation(data_centre=data_centre, now_ms=self._term.now_ms())
        if await self._commit(command):
            self._term.emit(EventName.EVACUATION_STARTED, detail=data_centre)
            self._warn_of_shortage(data_centre)

    async def finish(self, data_centre: str) -> None:
        """End the evacuation of a data centre; see `start` for errors."""
        self._check_known(data_centre)
        if self._is_settled(data_centre, is_evacuated=False):
            return
        command = FinishEvacuation(data_centre=data_centre, now_ms=self._term.now_ms())
        if await self._commit(command):
            self._term.emit(EventName.EVACUATION_FINISHED, detail=data_centre)

    def statuses(self) -> tuple[EvacuationStatus, ...]:
        """Return the evacuations in progress, by data centre."""
        return tuple(
            self._status(name, started_ms)
            for name, started_ms in sorted(self._state.evacuations.started.items())
        )

    def _status(self, name: str, started_ms: int) -> EvacuationStatus:
        vms = [vm for vm in self._state.vms.values() if vm.data_centre == name]
        is_long_running = [
            self._state.step(run.key).is_long_running
            for vm in vms
            for run in self._state.runs_of(vm.vm_id)
        ]
        return EvacuationStatus(
            data_centre=name,
            started_ms=started_ms,
            n_vms=len(vms),
            n_tasks=sum(is_long_running),
            n_short_tasks=len(is_long_running) - sum(is_long_running),
        )

    def _check_known(self, name: str) -> None:
        """Raise `UnknownDataCentreError` for a name that can't be meant."""
        is_listed = not self._cfg.data_centres or name in self._cfg.data_centres
        if is_listed and 0 < len(name) <= MAX_NAME_LENGTH:
            return
        if self._state.evacuations.includes(name):
            return
        if any(name and vm.data_centre == name for vm in self._state.vms.values()):
            return
        raise UnknownDataCentreError(f"no data centre is named {name!r}")

    def _is_settled(self, name: str, *, is_evacuated: bool) -> bool:
        """Return whether a call would change nothing."""
        if self._pending[name]:
            return False
        return self._state.evacuations.includes(name) is is_evacuated

    async def _commit(self, command: StartEvacuation | FinishEvacuation) -> bool:
        """Commit a command; return whether it has changed the state."""
        name = command.data_centre
        self._pending[name] += 1
        try:
            return bool(await self._term.propose(command))
        finally:
            self._pending[name] -= 1
            if not self._pending[name]:
                del self._pending[name]

    def _warn_of_shortage(self, data_centre: str) -> None:
        """Log a warning if the evacuation leaves pools without enough capacity."""
        shortages = list(_find_shortages(self._state, data_centre))
        if shortages:
            detail = f"evacuation of data centre {data_centre}: "
            self._term.emit(EventName.WARNING, detail=detail + "; ".join(shortages))


def _find_shortages(state: JobsState, data_centre: str) -> Iterator[str]:
    """Yield what is left of each pool that has no VM, or too few, outside evacuations.

    With a single evacuation, pools get further machines; only one without any VM is
    reported then.
    """
    evacuations = state.evacuations
    for pool in state.plan.pools:
        vms = [vm for vm in state.vms.values() if vm.pool == pool.name]
        if pool.is_standby or all(vm.data_centre != data_centre for vm in vms):
            continue
        left = [
            vm
            for vm in vms
            if not vm.is_draining and not evacuations.includes(vm.data_centre)
        ]
        cpu_left = sum(vm.capacity.cpu for vm in left)
        cpu_used = sum(state.usage.of_vm(vm.vm_id)[0].cpu for vm in vms)
        is_second = len(evacuations.started) > 1
        if not left or (is_second and cpu_used > cpu_left):
            yield (
                f"pool {pool.name} keeps {len(left)} of {len(vms)} VMs, "
                f"{cpu_left} mcpu, with {cpu_used} mcpu in use"
            )
