"""The leader's view of each VM, for operators."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

import msgspec

from ..jobs import JobsState
from ._agent import VmAgent
from ._speeds import VmSpeeds

__all__ = ["VmStatus", "vm_statuses"]


class VmStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as the leader knows it.

    Attributes
    ----------
    is_ready : bool
        Whether new runs may be placed on it.
    n_runs : int
        Runs that may be alive on it.
    is_slow : bool
        Whether it gets less work, since its runs take longer or fail more often.
    speed : float or None
        Estimated progress of its runs against those on other VMs; None if speeds are
        not learned, or nothing is known.
    error : float or None
        Factor by which the estimate may be off (one standard deviation).
    success : float or None
        Share of its runs that succeed, against that of the same steps elsewhere.
    n_results : int
        Results that the estimate is based on.
    age : timedelta or None
        Age of the last of them.
    """

    vm_id: str
    machine: str
    pool: str
    data_centre: str
    is_ready: bool
    n_runs: int
    is_slow: bool = False
    speed: float | None = None
    error: float | None = None
    success: float | None = None
    n_results: int = 0
    age: timedelta | None = None


def vm_statuses(
    agents: Iterable[VmAgent],
    *,
    state: JobsState,
    speeds: VmSpeeds | None,
    now: timedelta,
) -> Iterator[VmStatus]:
    """Yield the VMs by pool and name.

    Parameters
    ----------
    agents : iterable of VmAgent
        The leader's agents.
    state : JobsState
        The replicated state.
    speeds : VmSpeeds or None
        Learned speeds; None if they are not learned.
    now : timedelta
        Monotonic time.
    """
    for agent in sorted(agents, key=lambda agent: (agent.vm.pool, agent.vm.vm_id)):
        vm = agent.vm
        status = VmStatus(
            vm_id=vm.vm_id,
            machine=vm.machine,
            pool=vm.pool,
            data_centre=vm.data_centre,
            is_ready=agent.is_ready(now) and agent.is_responsive,
            n_runs=len(state.runs_of(vm.vm_id, vm.born_ms)),
        )
        known = None if speeds is None else speeds.estimate(vm.vm_id)
        if known is not None:
            status = msgspec.structs.replace(
                status,
                is_slow=known.is_slow,
                speed=known.speed,
                error=known.error_factor,
                success=known.success,
                n_results=known.n_results,
                age=now - known.known_at if known.n_results else None,
            )
        yield status
