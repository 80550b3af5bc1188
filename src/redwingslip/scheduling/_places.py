"""Places to which long-running tasks can move."""

from collections import Counter
from collections.abc import Container, Mapping

import msgspec

from ..jobs import ACTIVE_STATUSES, Amounts, JobRecord, StepSpec, TaskKey, iter_tasks
from ..placement import is_allowed
from ._agent import VmAgent
from ._job_index import non_preemptible_need
from ._machines import MachineRegistry
from ._term import Term

__all__ = ["Places"]


class _Place(msgspec.Struct):
    """A VM with the room that long-running tasks could take there.

    Attributes
    ----------
    room : Amounts
        Resources that no long-running task uses; short ones are preempted.
    steps : Counter
        Number of its tasks by job, occurrence and step.
    is_awaiting_maintenance : bool
        Whether a wave has yet to maintain its machine.
    """

    agent: VmAgent
    room: Amounts
    steps: Counter[tuple]
    is_awaiting_maintenance: bool


class Places:
    """Room for long-running tasks, computed once for a round of the evacuations.

    Room is kept first for the tasks that wait or are being stopped, so that no task
    leaves its VM for a place that another one takes. Machines that a wave has yet to
    maintain come last, as a task would have to leave them again.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their agents.
    reserved : mapping of TaskKey to str, optional
        VMs that are kept for tasks which leave their machines.

    Attributes
    ----------
    closed_steps : set of tuple
        Steps of which no further task at work may leave in this round.
    """

    __slots__ = ("_machines", "_now", "_pools", "_reserved", "_state", "closed_steps")

    def __init__(
        self,
        term: Term,
        machines: MachineRegistry,
        reserved: Mapping[TaskKey, str] | None = None,
    ) -> None:
        self._state = term.state
        self._machines = machines
        self._now = term.clock.monotonic()
        self._pools: dict[str, list[_Place]] | None = None
        self._reserved = reserved or {}
        self.closed_steps: set[tuple[str, int, int]] = set()

    def take(
        self, key: TaskKey, pool: str, allowed: Container[str] | None = None
    ) -> str | None:
        """Take a place for a task in a pool; return its VM, or None without one.

        Parameters
        ----------
        key : TaskKey
            The task.
        pool : str
            Its pool.
        allowed : container of str, optional
            The VMs that may run it; None for any.
        """
        if self._pools is None:
            # Not before, since often no step has a task that may leave.
            self._find_places()
        step = self._state.step(key)
        for place in self._pools.get(pool, ()):
            vm_id = place.agent.vm.vm_id
            if (allowed is None or vm_id in allowed) and _suits(place, step, key):
                place.room = place.room - step.reserved
                place.steps[key[:3]] += 1
                return vm_id
        return None

    def _find_places(self) -> None:
        self._pools = {}
        awaiting = {m for wave in self._state.waves.values() for m in wave.remaining()}
        for vm_id, agent in self._machines.agents.items():
            is_usable = agent.is_ready(self._now) and agent.is_responsive
            if not is_usable or self._machines.is_claimed(agent.vm.machine):
                continue
            _, steps = self._state.usage.of_vm(vm_id)
            kept = non_preemptible_need(self._state, steps)
            room = self._machines.ramp.usable(agent.vm, kept)
            place = _Place(agent, room, steps, agent.vm.machine in awaiting)
            self._pools.setdefault(agent.vm.pool, []).append(place)
        for places in self._pools.values():
            places.sort(key=lambda place: place.is_awaiting_maintenance)
        for key, vm_id in self._reserved.items():
            self.take(key, self._machines.agents[vm_id].vm.pool, (vm_id,))
        for job in self._state.jobs.values():
            if job.status in ACTIVE_STATUSES:
                self._keep_room(job)

    def _keep_room(self, job: JobRecord) -> None:
        """Take places for the long-running tasks of a job that are to restart."""
        if not any(step.is_long_running for step in job.spec.steps):
            return
        pool = _pool_of(job, self._state.plan.queues)
        for key, task in iter_tasks(job):
            if not job.spec.steps[key.step].is_long_running or task.is_done:
                continue
            if key in self._reserved:
                continue
            if all(self._is_stopping(key, run.number, run.vm_id) for run in task.runs):
                self.take(key, pool)

    def _is_stopping(self, key: TaskKey, number: int, vm_id: str) -> bool:
        agent = self._machines.agents.get(vm_id)
        return agent is not None and agent.is_stopping(key, number)


def _suits(place: _Place, step: StepSpec, key: TaskKey) -> bool:
    """Return whether a task can start at a place."""
    labels = place.agent.vm.labels
    return step.reserved.fits(place.room) and is_allowed(
        step, key[:3], labels, place.steps
    )


def _pool_of(job: JobRecord, queues: tuple) -> str:
    """Return the pool of a job under the plan in force, as `JobIndex.pool_of`."""
    pools = {queue.name: queue.pool for queue in queues}
    return pools.get(job.spec.queue, job.spec.pool)
