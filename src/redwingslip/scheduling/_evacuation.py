"""Evacuation of a machine, task by task, within the disruption budgets of steps."""

from collections.abc import Container, Iterable, Iterator, Mapping
from datetime import timedelta

from ..jobs import ActiveRun, TaskKey, iter_tasks
from ..observe import EventName
from ..placement import is_allowed
from ._agent import VmAgent
from ._job_index import non_preemptible_need
from ._machines import MachineRegistry
from ._order_sender import RunId
from ._places import Places
from ._single_moves import SingleMoves
from ._term import Term
from ._ticket_places import TicketPlaces
from ._work_checks import WorkChecks

__all__ = ["Evacuation"]

StepKey = tuple[str, int, int]


class Evacuation:
    """Stops tasks in advance if maintenance would end too many of a step at a time.

    A task is stopped when two conditions hold: with it, no more tasks of its step are
    unavailable than the disruption budget allows, and another VM can run it. The VMs of
    the others are asked right before, since one may have ended since its last answer.

    A task that needs a ticket at its next VM leaves only once the ticket is at hand.
    The place is kept for it, see `TicketPlaces`.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines.
    ordered : container of str
        Machines for which a maintenance order is in progress.
    maintained_at : mapping of str to timedelta
        Monotonic times at which the platform confirmed the maintenance of machines.
    checks : WorkChecks
        Asks VMs whether tasks are at work.
    tickets : TicketPlaces, optional
        Places for tasks that need tickets; None if no task does.

    Attributes
    ----------
    places : Places
        Places to which tasks can move in this round.
    """

    __slots__ = (
        "_checks",
        "_machines",
        "_maintained_at",
        "_ordered",
        "_single_moves",
        "_state",
        "_term",
        "_tickets",
        "places",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        ordered: Container[str],
        maintained_at: Mapping[str, timedelta],
        checks: WorkChecks,
        tickets: TicketPlaces | None = None,
    ) -> None:
        self._term = term
        self._state = term.state
        self._machines = machines
        self._ordered = ordered
        self._maintained_at = maintained_at
        self._checks = checks
        self._tickets = tickets
        self._single_moves = SingleMoves(term.state, self._is_at_work)
        self.begin_round()

    def begin_round(self) -> None:
        """Look for places anew."""
        reserved = self._tickets.reserved() if self._tickets is not None else None
        self.places = Places(self._term, self._machines, reserved)
        self._single_moves.forget_jobs()

    def keeps_budgets(self, runs: Iterable[ActiveRun]) -> bool:
        """Return whether all steps stay within budget if runs of one VM end."""
        return all(
            self._n_unavailable(step_runs) + len(step_runs) <= budget
            for step_runs, budget in self._runs_with_budget(runs)
        )

    def confirms_budgets(self, runs: Iterable[ActiveRun]) -> bool:
        """Return whether VMs have just confirmed what `keeps_budgets` relies on.

        Those that have not are asked; their answers count from the next round on.
        """
        by_step = [
            self._is_confirmed(step_runs, budget)
            for step_runs, budget in self._runs_with_budget(runs)
        ]
        return all(by_step)

    def n_stops(self, machine: str) -> int:
        """Return how many tasks must leave a machine before its maintenance."""
        agent = self._machines.agent_on(machine)
        if agent is None:
            return 0
        return sum(
            max(0, len(step_runs) - budget)
            for step_runs, budget in self._runs_with_budget(self._runs_on(agent))
        )

    def is_blocked(self, machine: str) -> bool:
        """Return whether tasks would have to leave a machine that no VM may run.

        The adviser has then refused all other VMs. Missing tickets are requested.
        """
        agent = self._machines.agent_on(machine)
        if agent is None:
            return False
        by_step = [
            self._needs_ticket(step_runs[0])
            and self._tickets.is_refused(step_runs[0], agent)
            for step_runs, budget in self._runs_with_budget(self._runs_on(agent))
            if len(step_runs) > budget
        ]
        return any(by_step)

    def advance(self, machine: str) -> bool:
        """Stop the next task of each step whose tasks here exceed its budget.

        One that is not at work yet is stopped first, since it is unavailable anyway.
        Return False if a task has no place with a ticket, and no answer is missing that
        could name one.
        """
        agent = self._machines.agent_on(machine)
        if agent is None:
            return True
        # Also while the budget is used up, as the machine would be held for nothing.
        has_places = not self.is_blocked(machine)
        for step_runs, budget in self._runs_with_budget(self._runs_on(agent)):
            if self._n_unavailable(step_runs) + len(step_runs) <= budget:
                if self._needs_ticket(step_runs[0]):
                    # These runs end with the VM, and their tasks restart elsewhere.
                    self._tickets.prepare(step_runs[0], agent)
                continue
            not_stopping = [
                r for r in step_runs if not agent.is_stopping(r.key, r.number)
            ]
            if not not_stopping:
                continue
            run = min(not_stopping, key=self._is_run_at_work)
            n_unavailable = self._n_unavailable([run])
            if n_unavailable < budget:
                has_places &= self._stop_one(agent, run, n_unavailable, budget)
        return has_places

    def _needs_ticket(self, run: ActiveRun) -> bool:
        return self._tickets is not None and self._tickets.needs_ticket(run)

    def _stop_one(
        self, agent: VmAgent, run: ActiveRun, n_unavailable: int, budget: int
    ) -> bool:
        """Stop a run if another VM can run its task; otherwise count a needed VM.

        Return False if the adviser's answers leave no place for the task.
        """
        vm_id = ""
        if self._needs_ticket(run):
            vm_id = self._tickets.find(run, agent, self.places)
            if vm_id is None:
                return not self._tickets.has_answers(run, agent)
        elif not self._has_place(agent, run):
            self._machines.n_vms_needed[agent.vm.pool] += 1
            return True
        # This also asks the VM itself, which has more tasks of the step than may be
        # away. One that does not answer would get the order late, beside another stop.
        if not self._is_confirmed([run], budget):
            return True
        if vm_id:
            self._tickets.reserve(run, vm_id)
        self._term.emit(
            EventName.RUN_PREEMPTED,
            request_id=run.key.job_id,
            vm=run.vm_id,
            detail=f"{run.key.label(run.number)} leaves before maintenance, "
            f"{n_unavailable} of its step unavailable",
        )
        agent.stop(run.key, run.number)
        return True

    def move_off(self, agent: VmAgent, places: Places) -> bool:
        """Stop the next long-running task of each step on a VM, if it has a place.

        A step without a budget has one task moved at a time, see `SingleMoves`. Gangs
        stay, as they work only as a whole. Return False if a task has no other place.

        A VM that does not answer keeps its tasks until its lease ends: it would get the
        order late, beside the stop of another task.
        """
        if not agent.is_responsive or not agent.lease.is_in_contact(
            self._term.clock.monotonic()
        ):
            return True
        by_step: dict[StepKey, list[ActiveRun]] = {}
        for run in self._movable_runs(agent):
            if not agent.is_stopping(run.key, run.number):
                by_step.setdefault(run.key[:3], []).append(run)
        has_places = True
        for step_key, step_runs in by_step.items():
            run = min(step_runs, key=self._is_run_at_work)
            is_at_work = self._is_run_at_work(run)
            if is_at_work and step_key in places.closed_steps:
                continue
            budget = self._state.step(run.key).disruption_budget
            n_unavailable = self._n_unavailable([run])
            vm_id = None
            if not self._may_move(step_key, n_unavailable, budget):
                may_leave = False
            elif (vm_id := self._take_place(agent, run, places)) is None:
                may_leave = has_places = False
            else:
                has_answered = not is_at_work or self._has_answered(agent, run)
                is_confirmed = not budget or self._is_confirmed([run], budget)
                may_leave = has_answered and is_confirmed
            if not may_leave:
                # Counting the tasks of a step for each of its VMs takes long.
                places.closed_steps.add(step_key)
                continue
            if self._needs_ticket(run):
                self._tickets.reserve(run, vm_id)
            if not budget:
                places.closed_steps.add(step_key)
                self._single_moves.note_move(run, n_unavailable)
            self._term.emit(
                EventName.EVACUATION_MOVE,
                request_id=run.key.job_id,
                vm=run.vm_id,
                detail=f"{run.key.label(run.number)} leaves data centre "
                f"{agent.vm.data_centre}, {n_unavailable} of its step unavailable",
            )
            agent.stop(run.key, run.number)
        return has_places

    def _take_place(self, agent: VmAgent, run: ActiveRun, places: Places) -> str | None:
        if self._needs_ticket(run):
            return self._tickets.find(run, agent, places)
        return places.take(run.key, agent.vm.pool)

    def _may_move(self, step_key: StepKey, n_unavailable: int, budget: int) -> bool:
        if budget:
            return n_unavailable < budget
        now = self._term.clock.monotonic()
        return self._single_moves.may_move(step_key, n_unavailable, now)

    def _has_answered(self, agent: VmAgent, run: ActiveRun) -> bool:
        """Return whether a VM has just listed its run at work; else ask it."""
        if self._checks.is_confirmed(agent, (run.key, run.number)):
            return True
        self._checks.request([agent])
        return False

    def n_long_running(self, agent: VmAgent) -> int:
        """Return the number of long-running tasks that a VM has."""
        return sum(
            self._state.step(r.key).is_long_running for r in self._runs_on(agent)
        )

    def _movable_runs(self, agent: VmAgent) -> list[ActiveRun]:
        """Return the runs of a VM that an evacuation of its data centre moves."""
        steps = ((run, self._state.step(run.key)) for run in self._runs_on(agent))
        return [run for run, s in steps if s.is_long_running and not s.is_gang]

    def _runs_on(self, agent: VmAgent) -> tuple[ActiveRun, ...]:
        return self._state.runs_of(agent.vm.vm_id, agent.vm.born_ms)

    def _runs_with_budget(
        self, runs: Iterable[ActiveRun]
    ) -> list[tuple[list[ActiveRun], int]]:
        """Return the runs grouped by step, with the budget, for steps that have one."""
        by_step: dict[StepKey, list[ActiveRun]] = {}
        for run in runs:
            if self._state.step(run.key).disruption_budget:
                by_step.setdefault(run.key[:3], []).append(run)
        return [
            (step_runs, self._state.step(step_runs[0].key).disruption_budget)
            for step_runs in by_step.values()
        ]

    def _n_unavailable(self, step_runs: list[ActiveRun]) -> int:
        """Return how many other tasks of the step of the given runs are not at work."""
        return sum(not at_work for at_work in self._at_work_of_others(step_runs))

    def _at_work_of_others(
        self, step_runs: list[ActiveRun]
    ) -> Iterator[list[tuple[VmAgent, RunId]]]:
        """Yield, for each other task of the step of the given runs, those at work."""
        step_key = step_runs[0].key[:3]
        excluded = {run.key for run in step_runs}
        job = self._state.jobs[step_key[0]]
        for key, task in iter_tasks(job):
            if key[:3] == step_key and key not in excluded:
                yield [
                    (self._machines.agents[run.vm_id], (key, run.number))
                    for run in task.runs
                    if self._is_at_work(key, run.number, run.vm_id)
                ]

    def _is_confirmed(self, step_runs: list[ActiveRun], budget: int) -> bool:
        """Return whether VMs have just listed enough other tasks at work; else ask."""
        unconfirmed = [
            at_work
            for at_work in self._at_work_of_others(step_runs)
            if not any(self._checks.is_confirmed(*listed) for listed in at_work)
        ]
        if len(unconfirmed) + len(step_runs) <= budget:
            return True
        self._checks.request(agent for at_work in unconfirmed for agent, _ in at_work)
        return False

    def _is_run_at_work(self, run: ActiveRun) -> bool:
        return self._is_at_work(run.key, run.number, run.vm_id)

    def _is_at_work(self, key: TaskKey, number: int, vm_id: str) -> bool:
        agent = self._machines.agents.get(vm_id)
        if agent is None or not agent.lease.is_in_contact(self._term.clock.monotonic()):
            return False
        if self.has_pending_order(agent.vm.machine) or agent.is_stopping(key, number):
            return False
        # A VM that is kept after a repeated order may have ended since its last answer.
        maintained_at = self._maintained_at.get(agent.vm.machine)
        if maintained_at is not None and agent.lease.contact_at <= maintained_at:
            return False
        listed = agent.listed_runs.get((key, number))
        return listed is not None and listed.is_at_work

    def has_pending_order(self, machine: str) -> bool:
        """Return whether an order may end all runs on a machine at any moment."""
        if machine in self._ordered:
            return True
        return any(
            machine in wave.ordered
            and machine not in wave.begun
            and machine not in wave.gone
            for wave in self._state.waves.values()
        )

    def _has_place(self, agent: VmAgent, run: ActiveRun) -> bool:
        """Return whether another VM of the pool can run a task immediately.

        The capacity used by short tasks counts as free, since a long-running task
        preempts them.
        """
        step = self._state.step(run.key)
        now = self._term.clock.monotonic()
        for vm_id, other in self._machines.agents.items():
            vm = other.vm
            if other is agent or vm.pool != agent.vm.pool or not other.is_ready(now):
                continue
            if self._machines.is_claimed(vm.machine):
                continue
            _, steps = self._state.usage.of_vm(vm_id)
            if not is_allowed(step, run.key[:3], vm.labels, steps):
                continue
            kept = non_preemptible_need(self._state, steps)
            if self._tickets is not None:
                kept = kept + self._tickets.held_on(vm_id)
            if step.reserved.fits(self._machines.ramp.usable(vm, kept)):
                return True
        return False
