"""The capacity that the short tasks of each pool can use, now and a little later."""

from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from ..jobs import NO_AMOUNTS, Amounts, JobsState
from ..placement import AdmissionSettings, CapacityPlan
from ._machines import MachineRegistry
from ._moves import MoveManager

__all__ = ["FleetCapacity", "PoolCapacity"]

MS = timedelta(milliseconds=1)


class PoolCapacity(msgspec.Struct):
    """The VMs of a pool that take short tasks.

    Attributes
    ----------
    total : Amounts
        Their capacity without what long-running tasks reserve. Cores count with the
        speed of their VM.
    idle_cpu : int
        Capacity of those without any task, in thousandths of a core.
    vms : set of str
        These VMs.
    """

    total: Amounts = NO_AMOUNTS
    idle_cpu: int = 0
    vms: set[str] = msgspec.field(default_factory=set)


class FleetCapacity:
    """The capacity of all pools at one time.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    machines : MachineRegistry
        Registry of the machines and their agents. Claimed machines get no new runs and
        don't count.
    moves : MoveManager
        Moves of machines that are in progress.
    now : timedelta
        Monotonic time.
    cfg : AdmissionSettings
        The settings.
    """

    __slots__ = ("_arrivals", "_cfg", "_pools", "_standby_cpu")

    def __init__(
        self,
        *,
        state: JobsState,
        machines: MachineRegistry,
        moves: MoveManager,
        now: timedelta,
        cfg: AdmissionSettings,
    ) -> None:
        self._cfg = cfg
        self._standby_cpu = moves.standby_cpu()
        self._arrivals = moves.arriving_cpu(now)
        self._pools: dict[str, PoolCapacity] = defaultdict(PoolCapacity)
        ejected = machines.ejected_vms(now)
        for vm_id, agent in machines.agents.items():
            vm = agent.vm
            if vm.is_draining or vm_id in ejected or machines.is_claimed(vm.machine):
                continue
            if agent.is_evacuated or not agent.lease.is_in_contact(now):
                continue
            _, steps = state.usage.of_vm(vm_id)
            room = vm.capacity
            for (job_id, _, number), n_tasks in steps.items():
                step = state.jobs[job_id].spec.steps[number]
                if step.is_long_running:
                    room = room - step.reserved.times(n_tasks)
            # Cores of a slow VM do the work of fewer.
            cpu = int(machines.speed(vm_id) * room.cpu)
            pool = self._pools[vm.pool]
            pool.total = pool.total + msgspec.structs.replace(room, cpu=cpu)
            pool.vms.add(vm_id)
            if not steps:
                pool.idle_cpu += cpu

    def vms_of(self, pool: str) -> set[str]:
        """Return the VMs of a pool that count."""
        return self._pools[pool].vms

    def plan(
        self,
        pool: str,
        *,
        busy: Iterable[tuple[float, float]],
        memory_per_core: float,
        n_short: int,
        share: float = 1.0,
    ) -> CapacityPlan:
        """Return what the short tasks of a pool can use, now and later.

        Parameters
        ----------
        pool : str
            The pool.
        busy : iterable of (float, float)
            The runs of its short tasks: milliseconds until the end, and cores.
        memory_per_core : float
            MB that its waiting tasks need for each core that they use. The plan has
            less cores if the memory is used up before them.
        n_short : int
            Number of pools that share the machines that others don't use.
        share : float
            Share of the capacity that is planned.
        """
        total = self._pools[pool].total
        cores = max(0, total.cpu) / 1000
        memory_cores = cores
        if memory_per_core > 0:
            memory_cores = max(0, total.memory_mb) / memory_per_core
        # Machines that come later are taken to have as much memory per core.
        share *= min(1.0, memory_cores / cores) if cores else 1.0
        idle_cpu = sum(
            other.idle_cpu for name, other in self._pools.items() if name != pool
        )
        borrowed = self._cfg.borrowed_share * (idle_cpu + self._standby_cpu)
        delay_ms = self._cfg.arrival_delay / MS
        stages = [(0.0, cores), (delay_ms, borrowed / 1000 / max(1, n_short))]
        for cpu, ordered_ago in self._arrivals.get(pool, ()):
            after = max(MS, self._cfg.arrival_delay - ordered_ago)
            stages.append((after / MS, cpu / 1000))
        return CapacityPlan(((after, share * amount) for after, amount in stages), busy)
