"""Places that tasks of queues with advice may go to, reserved before they leave."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from ..jobs import NO_AMOUNTS, ActiveRun, Amounts, TaskKey
from ..placement import CandidateVm
from ._advice import AdviceCache, StepKey
from ._agent import VmAgent
from ._job_index import JobIndex
from ._machines import MachineRegistry
from ._places import Places
from ._term import Term

__all__ = ["TicketPlaces"]

# The stop of a run takes a call and a commit; the ticket must outlast both.
MIN_VALIDITY = timedelta(seconds=1)
# Longer than a stop that has to be sent twice, and shorter than the time after which a
# task that is away counts as lost.
RESERVE_TIME = timedelta(seconds=5)
# Time between two requests for a step: while answers are missing, and when the adviser
# has refused all VMs but those that the task can't go to.
ASK_INTERVAL = timedelta(milliseconds=500)
ASK_AGAIN_INTERVAL = timedelta(seconds=3)


class _Reservation(msgspec.Struct, frozen=True):
    """A VM that is kept for a task, from the stop of its run with this number on."""

    number: int
    vm_id: str
    born_ms: int
    until: timedelta


class TicketPlaces:
    """Finds and reserves places for tasks that need a ticket at their next VM.

    A reserved place is kept from other tasks, and its machine from moves and waves,
    until the task has started or `RESERVE_TIME` has passed. Only this leader knows it;
    after a change of leader the task takes any VM with a ticket.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their agents.
    job_index : JobIndex
        Tells which jobs need tickets.
    advice : AdviceCache
        The tickets.
    """

    __slots__ = (
        "_advice",
        "_ask_at",
        "_job_index",
        "_machines",
        "_reservations",
        "_state",
        "_term",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        job_index: JobIndex,
        advice: AdviceCache,
    ) -> None:
        self._term = term
        self._state = term.state
        self._machines = machines
        self._job_index = job_index
        self._advice = advice
        self._reservations: dict[TaskKey, _Reservation] = {}
        self._ask_at: dict[StepKey, timedelta] = {}

    def needs_ticket(self, run: ActiveRun) -> bool:
        """Return whether the task of a run needs a ticket at its next VM."""
        return self._job_index.needs_advice(run.key.job_id)

    def find(self, run: ActiveRun, agent: VmAgent, places: Places) -> str | None:
        """Return a VM with room and a ticket for the task of a run on another VM.

        Without one, tickets are requested.
        """
        tickets = self._advice.tickets(run.key[:3], valid_for=MIN_VALIDITY)
        others = tickets.keys() - {agent.vm.vm_id}
        vm_id = places.take(run.key, agent.vm.pool, others) if others else None
        if vm_id is None:
            self._ask(run, agent)
        return vm_id

    def prepare(self, run: ActiveRun, agent: VmAgent) -> None:
        """Request tickets for a run that is about to end, if none is at hand."""
        tickets = self._advice.tickets(run.key[:3], valid_for=MIN_VALIDITY)
        if not tickets.keys() - {agent.vm.vm_id}:
            self._ask(run, agent)

    def has_answers(self, run: ActiveRun, agent: VmAgent) -> bool:
        """Return whether the adviser has answered about all VMs of a run's pool."""
        return self._advice.has_answers(
            run.key[:3], agent.vm.pool, valid_for=MIN_VALIDITY
        )

    def is_refused(self, run: ActiveRun, agent: VmAgent) -> bool:
        """Return whether the adviser lets no VM but its own run the task of a run.

        False as long as answers are missing, which are requested.
        """
        tickets = self._advice.tickets(run.key[:3], valid_for=MIN_VALIDITY)
        if tickets.keys() - {agent.vm.vm_id}:
            return False
        self._ask(run, agent)
        return self.has_answers(run, agent)

    def reserve(self, run: ActiveRun, vm_id: str) -> None:
        """Keep a place for the task of a run that is being stopped."""
        agent = self._machines.agents[vm_id]
        until = self._term.clock.monotonic() + RESERVE_TIME
        self._reservations[run.key] = _Reservation(
            run.number, vm_id, agent.vm.born_ms, until
        )
        self._machines.keep(agent.vm.machine, until)

    def reserved(self) -> Mapping[TaskKey, str]:
        """Return the VMs that are kept at present, by task."""
        now = self._term.clock.monotonic()
        for key, reservation in tuple(self._reservations.items()):
            if not self._is_valid(key, reservation, now):
                del self._reservations[key]
        return {key: each.vm_id for key, each in self._reservations.items()}

    def held_on(self, vm_id: str) -> Amounts:
        """Return the resources of a VM that are kept for tasks."""
        held = NO_AMOUNTS
        for key, other_id in self.reserved().items():
            if other_id == vm_id:
                held = held + self._state.step(key).reserved
        return held

    def hold(self, pools: Mapping[str, list[CandidateVm]]) -> Mapping[TaskKey, str]:
        """Take the reserved places out of what the candidates have free.

        Returns
        -------
        mapping of TaskKey to str
            The VMs by task. `release` gives a place back when its task is placed.
        """
        reserved = self.reserved()
        if reserved:
            vms = {vm.vm_id: vm for each in pools.values() for vm in each}
            for key, vm_id in reserved.items():
                if vm_id in vms:
                    need = self._state.step(key).reserved
                    vms[vm_id].free = vms[vm_id].free - need
                    vms[vm_id].tasks_of_step[key[:3]] += 1
        return reserved

    def release(self, key: TaskKey, vm_id: str, vms: list[CandidateVm]) -> None:
        """Give the reserved place of a task back to its VM."""
        for vm in vms:
            if vm.vm_id == vm_id:
                vm.free = vm.free + self._state.step(key).reserved
                vm.tasks_of_step[key[:3]] -= 1

    def _is_valid(
        self, key: TaskKey, reservation: _Reservation, now: timedelta
    ) -> bool:
        task = self._state.task(key)
        if task is None or task.is_done or task.n_runs != reservation.number:
            return False
        agent = self._machines.agents.get(reservation.vm_id)
        if agent is None or agent.vm.born_ms != reservation.born_ms:
            return False
        return now < reservation.until and agent.is_ready(now) and agent.is_responsive

    def _ask(self, run: ActiveRun, agent: VmAgent) -> None:
        """Request tickets for the task of a run on another VM, not too often."""
        step_key = run.key[:3]
        now = self._term.clock.monotonic()
        if now < self._ask_at.get(step_key, now):
            return
        # Also drops the entries of jobs that have ended.
        self._ask_at = {key: at for key, at in self._ask_at.items() if at > now}
        has_answers = self.has_answers(run, agent)
        interval = ASK_AGAIN_INTERVAL if has_answers else ASK_INTERVAL
        self._ask_at[step_key] = now + interval
        claimed = {
            vm_id
            for vm_id, other in self._machines.agents.items()
            if self._machines.is_claimed(other.vm.machine)
        }
        besides = frozenset(claimed | {agent.vm.vm_id})
        self._advice.request(step_key, agent.vm.pool, is_urgent=True, besides=besides)
