"""The VMs that accept new runs, as the placement sees them."""

from collections.abc import Iterable

from ..jobs import ActiveRun, is_isolated
from ..placement import CandidateVm
from ._machines import MachineRegistry
from ._speeds import VmSpeeds
from ._term import Term

__all__ = ["CandidateVms"]


class CandidateVms:
    """The VMs that accept new runs.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines; claimed ones get no runs.
    speeds : VmSpeeds or None
        Learned speeds of VMs; None if all count as equally fast.
    """

    __slots__ = ("_machines", "_speeds", "_state", "_term")

    def __init__(
        self,
        term: Term,
        machines: MachineRegistry,
        *,
        speeds: VmSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._term = term
        self._state = term.state
        self._machines = machines

    def by_pool(self, names: set[str]) -> dict[str, list[CandidateVm]]:
        """Return the VMs of the named pools that accept runs, by pool."""
        now = self._term.clock.monotonic()
        machines_to_maintain = {
            m for wave in self._state.waves.values() for m in wave.remaining()
        }
        ejected = self._machines.ejected_vms(now)
        pools: dict[str, list[CandidateVm]] = {}
        for vm_id, agent in self._machines.agents.items():
            if agent.vm.pool not in names:
                continue
            is_claimed = self._machines.is_claimed(agent.vm.machine)
            if is_claimed:
                continue
            if not agent.is_ready(now) or not agent.is_responsive:
                continue
            used, steps = self._state.usage.of_vm(vm_id)
            suspects = self._state.recent_suspects(vm_id, self._term.now_ms())
            candidate = CandidateVm(
                vm_id=vm_id,
                born_ms=agent.vm.born_ms,
                machine=agent.vm.machine,
                labels=agent.vm.labels,
                capacity=agent.vm.capacity,
                free=self._machines.ramp.usable(agent.vm, used),
                tasks_of_step=steps,
                is_avoided=agent.health.is_avoided(now),
                is_ejected=vm_id in ejected,
                has_long_running=self._has_long_running(steps),
                is_awaiting_maintenance=agent.vm.machine in machines_to_maintain,
                suspect_jobs={run.key.job_id for run in suspects},
                isolated_job=self._isolated_job(suspects),
            )
            if self._speeds is not None:
                self._speeds.rate(candidate, now)
            pools.setdefault(agent.vm.pool, []).append(candidate)
        return pools

    def _isolated_job(self, suspects: list[ActiveRun]) -> str:
        """Return the job of the first isolated task among runs; empty for none."""
        for run in suspects:
            if is_isolated(self._state.step(run.key), self._state.task(run.key)):
                return run.key.job_id
        return ""

    def most_free(self, pool: str) -> tuple[str, ...]:
        """Return the VMs of a pool that accept runs, those with most free CPU first."""
        now = self._term.clock.monotonic()
        free_cpu = {
            vm_id: agent.vm.capacity.cpu - self._state.usage.of_vm(vm_id)[0].cpu
            for vm_id, agent in self._machines.agents.items()
            if agent.vm.pool == pool and agent.is_ready(now)
        }
        return tuple(sorted(free_cpu, key=lambda vm_id: (-free_cpu[vm_id], vm_id)))

    def _has_long_running(self, steps: Iterable[tuple[str, int, int]]) -> bool:
        """Return whether any of the given steps is long-running."""
        return any(
            self._state.jobs[job_id].spec.steps[number].is_long_running
            for job_id, _, number in steps
        )
