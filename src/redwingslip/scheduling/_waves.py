"""Maintenance waves: cordon, evacuation and maintenance of their machines."""

import asyncio
import math
from collections import Counter
from datetime import timedelta

from ..jobs import ActiveRun, RecordMaintenance, WaveRecord
from ..observe import EventName
from ._blocked_machines import BlockedMachines
from ._data_centres import DataCentreEvacuation
from ._evacuation import Evacuation
from ._job_index import PoolBacklog
from ._machines import MachineManager
from ._ports import MachineOutcome
from ._ticket_places import TicketPlaces
from ._wave_chains import StepChain, critical_machines
from ._work_checks import WorkChecks
from .exceptions import CommandOutcomeUnknownError, NotLeadingError

__all__ = ["WaveManager"]

MS = timedelta(milliseconds=1)


class WaveManager(MachineManager):
    """Carries out the waves of the replicated state during one term of leadership.

    A cordoned machine is claimed, so that it gets no new runs. It is maintained when
    it is drained or `max_drain` has passed, within the disruption budgets of the steps
    and the limit of the wave. A machine whose tasks can't leave for lack of tickets is
    reported, given back and tried again later.

    Parameters
    ----------
    tickets : TicketPlaces, optional
        Places for tasks that need tickets; None if no task does.
    **options
        See `MachineManager`.
    """

    def __init__(self, *, tickets: TicketPlaces | None = None, **options) -> None:
        self._tickets = tickets
        super().__init__(**options)

    def _init_state(self) -> None:
        self._cordoned_at: dict[str, timedelta] = {}
        self._maintained_at: dict[str, timedelta] = {}
        self._retry_at: dict[str, timedelta] = {}
        self._checks = WorkChecks(self._term)
        self._evacuation = Evacuation(
            term=self._term,
            machines=self._machines,
            ordered=self._order_tasks,
            maintained_at=self._maintained_at,
            checks=self._checks,
            tickets=self._tickets,
        )
        self._blocked = BlockedMachines(self._term, self._evacuation)
        self._data_centres = DataCentreEvacuation(
            term=self._term,
            machines=self._machines,
            evacuation=self._evacuation,
            cfg=self._cfg.evacuation,
        )

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        self._hold_ordered_machines()
        try:
            while True:
                await asyncio.sleep(self._cfg.waves.interval.total_seconds())
                self._advance_all()
                if self._checks.is_asking:
                    await self._checks.wait(self._cfg.waves.interval)
                    self._advance_all()
        finally:
            self._checks.close()
            self._cancel_orders()

    def _advance_all(self) -> None:
        """Advance each wave that is not complete, while this replica leads."""
        if not self._term.is_leading():
            return
        now = self._term.clock.monotonic()
        self._machines.n_vms_needed.clear()
        self._checks.begin_round()
        self._evacuation.begin_round()
        self._hold_ordered_machines()
        if self._tickets is not None:
            self._blocked.find(now, self._cordoned_at.keys())
        for wave in tuple(self._state.waves.values()):
            if not wave.is_complete:
                self._advance(wave, now)
        self._data_centres.advance()

    def _hold_ordered_machines(self) -> None:
        """Cordon the machines that an order without an answer may still maintain.

        An earlier leader gave it, or it belongs to another wave of the machine. More
        tasks of a step could start there than its budget allows. They count as
        unavailable until the order is settled, so that none of them could leave, and
        the order could not be repeated.
        """
        for wave in self._state.waves.values():
            for machine in wave.remaining():
                if machine in self._cordoned_at or machine not in wave.ordered:
                    continue
                if self._machines.claim(machine, self, self._recall):
                    self._cordoned_at[machine] = self._term.clock.monotonic()

    def _advance(self, wave: WaveRecord, now: timedelta) -> None:
        """Cordon the next machines of a wave and order maintenance where possible."""
        remaining = wave.remaining()
        n_down = sum(self._is_down(wave, machine, now) for machine in wave.machines)
        self._cordon_machines(wave, remaining, now)
        for machine in remaining:
            if machine not in self._cordoned_at or self._evacuation.advance(machine):
                continue
            # Its place in the wave is free for others, and its VM for other tasks, also
            # for those of further machines that have found no place in this round.
            if self._recall(machine):
                self._blocked.note(machine, wave=wave.number, now=now)
                break
        for machine in remaining:
            # A machine whose order had no answer may be down for it already.
            is_counted = self._is_down(wave, machine, now)
            if n_down - is_counted >= max(1, wave.max_at_once):
                continue
            if self._can_maintain(machine, wave, now):
                n_down += not is_counted
                self._begin_order(machine, self._maintain(wave, machine))

    def _cordon_machines(
        self, wave: WaveRecord, remaining: list[str], now: timedelta
    ) -> None:
        """Cordon the machines whose absence costs least.

        As many as the pace of the wave requires are cordoned in any case, and the
        machines whose tasks can leave only a few at a time, see `critical_machines`.
        More are cordoned only if they are spare, see `_is_spare`.
        """
        critical = self._critical_machines(wave, remaining)
        n_away = sum(machine in self._cordoned_at for machine in remaining) + sum(
            self._is_down(wave, machine, now)
            for machine in wave.machines
            if machine not in self._cordoned_at
        )
        limit = max(1, wave.max_at_once)
        n_needed = min(limit, self._n_needed_at_once(wave, remaining))
        candidates = [
            machine
            for machine in remaining
            if machine not in self._cordoned_at
            and self._machines.may_order(machine)
            and self._blocked.may_try(machine, now)
        ]
        candidates.sort(
            key=lambda machine: (
                machine in self._blocked,
                machine not in critical,
                *self._absence_cost(machine),
                machine,
            )
        )
        for machine in candidates:
            is_counted = self._is_down(wave, machine, now)
            n_others = n_away - is_counted
            if n_others >= limit:
                continue
            is_chosen = (
                n_others < n_needed or machine in critical or self._is_spare(machine)
            )
            if is_chosen and self._machines.claim(machine, self, self._recall):
                self._cordoned_at[machine] = now
                n_away += not is_counted

    def _remaining_ms(self, wave: WaveRecord) -> float:
        """Return the time that is left for a wave, without its reserve; at least 1."""
        reserve_ms = self._cfg.waves.safety * wave.duration_ms
        return max(1, wave.due_ms - reserve_ms - self._term.now_ms())

    def _critical_machines(
        self, wave: WaveRecord, remaining: list[str]
    ) -> frozenset[str]:
        """Return the machines that have to be cordoned next to end a wave in time."""
        cfg = self._cfg.waves
        if not cfg.critical_share:
            return frozenset()
        chains: dict[tuple[str, int, int], StepChain] = {}
        for machine in remaining:
            for run in self._runs_on(machine):
                budget = self._state.step(run.key).disruption_budget
                if budget:
                    chain = chains.setdefault(run.key[:3], StepChain(budget, Counter()))
                    chain.n_tasks[machine] += 1
        machines = critical_machines(
            chains.values(),
            cordoned=self._cordoned_at,
            remaining=self._remaining_ms(wave) * MS,
            round_time=cfg.evacuation,
            critical_share=cfg.critical_share,
        )
        return frozenset(machines)

    def _n_needed_at_once(self, wave: WaveRecord, remaining: list[str]) -> int:
        """Return how many machines must be away at a time to end the wave in time."""
        remaining_ms = self._remaining_ms(wave)
        cfg = self._cfg.waves
        work = timedelta(0)
        for machine in remaining:
            is_off = self._machines.agent_on(machine) is None
            work += cfg.off_cycle if is_off else cfg.cycle
            work += cfg.evacuation * self._evacuation.n_stops(machine)
        return math.ceil(work / MS / remaining_ms)

    def _absence_cost(self, machine: str) -> tuple[int, int]:
        """Return a sort key for the harm that a machine's absence does."""
        agent = self._machines.agent_on(machine)
        if agent is None:
            # A pool that lacks capacity would get this machine immediately.
            return (1, 0) if self._machines.is_short else (0, 0)
        if agent.is_evacuated:
            # It serves nobody, and gets no new runs.
            return (-1, self._count_runs(machine))
        backlog = self._backlog.get(agent.vm.pool, PoolBacklog())
        return (backlog.cpu, self._count_runs(machine))

    def _is_spare(self, machine: str) -> bool:
        """Return whether a machine can be spared at present.

        A machine that is switched off is spare unless a pool lacks machines. Any other
        is spare if it has no short tasks, nothing waits in its pool, and the share of
        cordoned machines of the pool stays within `pool_share`. One without runs in an
        evacuated data centre is spare.
        """
        agent = self._machines.agent_on(machine)
        if agent is None:
            return not self._machines.is_short
        vm = agent.vm
        runs = self._state.runs_of(vm.vm_id, vm.born_ms)
        if agent.is_evacuated and not runs:
            return True
        if vm.pool in self._backlog:
            return False
        if not all(self._state.step(run.key).is_long_running for run in runs):
            return False
        pool = [
            a.vm.machine for a in self._machines.agents.values() if a.vm.pool == vm.pool
        ]
        n_cordoned = sum(name in self._cordoned_at for name in pool)
        return n_cordoned + 1 <= max(1, self._cfg.waves.pool_share * len(pool))

    def _can_maintain(self, machine: str, wave: WaveRecord, now: timedelta) -> bool:
        """Return whether the maintenance of a machine can be ordered."""
        if machine in self._order_tasks or now < self._retry_at.get(machine, now):
            return False
        if not self._machines.may_order(machine):
            return False
        if not self._may_end_runs(machine, now):
            return False
        return self._evacuation.confirms_budgets(self._runs_on(machine))

    def _may_end_runs(self, machine: str, now: timedelta) -> bool:
        """Return whether a machine is cordoned and its runs may end with its VM."""
        cordoned_at = self._cordoned_at.get(machine)
        if cordoned_at is None:
            return False
        runs = self._runs_on(machine)
        if not self._evacuation.keeps_budgets(runs):
            return False
        is_drained = all(self._state.step(r.key).is_long_running for r in runs)
        return is_drained or now >= cordoned_at + self._cfg.waves.max_drain

    def _runs_on(self, machine: str) -> tuple[ActiveRun, ...]:
        agent = self._machines.agent_on(machine)
        if agent is None:
            return ()
        return self._state.runs_of(agent.vm.vm_id, agent.vm.born_ms)

    def _is_down(self, wave: WaveRecord, machine: str, now: timedelta) -> bool:
        """Return whether a machine is or may be down for its maintenance."""
        if machine in self._order_tasks:
            return True
        if machine not in wave.ordered:
            return False
        if machine not in wave.begun and machine not in wave.gone:
            return True
        maintained_at = self._maintained_at.get(machine, self._term.started_at)
        if now > maintained_at + self._cfg.waves.down_timeout:
            return False
        agent = self._machines.agent_on(machine)
        if agent is None or not agent.is_serving(now):
            return True
        # A VM kept after a repeated order may have ended since its last answer.
        return agent.lease.contact_at <= maintained_at

    def _count_runs(self, machine: str) -> int:
        agent = self._machines.agent_on(machine)
        if agent is None:
            return 0
        return len(self._state.runs.get(agent.vm.vm_id, ()))

    async def _maintain(self, wave: WaveRecord, machine: str) -> None:
        """Record and order the maintenance of one machine, and record the outcome.

        The order ends the VM on the machine, unless an earlier order, whose answer this
        leader does not know, was carried out. Its VM is then removed only when polls
        show that it has ended.
        """
        is_repeated = machine in wave.ordered
        try:
            await self._record_maintenance(wave, ordered=(machine,))
            if not self._term.is_leading():
                return
            # Commits that were in progress may have started or ended runs.
            if not self._may_end_runs(machine, self._term.clock.monotonic()):
                if not is_repeated:
                    await self._record_maintenance(wave, given_up=(machine,))
                return
            agent = self._machines.agent_on(machine)
            outcome = await self._operations.maintain(
                machine, wave.number, fence=self._term.fence
            )
            self._term.emit(
                EventName.MAINTENANCE_ORDERED,
                wave=str(wave.number),
                vm=machine,
                detail=outcome.value,
            )
            self._count_outcome("maintenance", outcome)
            if outcome is MachineOutcome.DONE:
                self._maintained_at[machine] = self._term.clock.monotonic()
                await self._record_maintenance(wave, begun=(machine,))
                if agent is not None and not is_repeated:
                    await self._term.forget_vm(
                        agent.vm, "its machine is being maintained"
                    )
                self._uncordon(machine)
            elif outcome in (
                MachineOutcome.UNKNOWN_MACHINE,
                MachineOutcome.NOT_OF_WAVE,
            ):
                if is_repeated:
                    self._maintained_at[machine] = self._term.clock.monotonic()
                given_up = () if is_repeated else (machine,)
                await self._record_maintenance(wave, gone=(machine,), given_up=given_up)
                self._uncordon(machine)
            else:
                self._retry_at[machine] = (
                    self._term.clock.monotonic() + self._cfg.waves.retry_delay
                )
                # A repeated order leaves open whether the first one was carried out.
                if outcome is not MachineOutcome.NO_ANSWER and not is_repeated:
                    await self._record_maintenance(wave, given_up=(machine,))
        except (NotLeadingError, CommandOutcomeUnknownError) as exc:
            self._term.emit(EventName.WARNING, vm=machine, detail=str(exc))

    def _uncordon(self, machine: str) -> None:
        """Release a machine, so that it gets runs again."""
        self._cordoned_at.pop(machine, None)
        self._machines.release(machine, self)
        self._hold_ordered_machines()

    def _recall(self, machine: str) -> bool:
        """Give up the cordon of a machine; return False if its order may be in force.

        The machine is cordoned again later, and its wave goes on meanwhile.
        """
        if self._evacuation.has_pending_order(machine):
            return False
        self._uncordon(machine)
        return True

    async def _record_maintenance(
        self, wave: WaveRecord, **changes: tuple[str, ...]
    ) -> None:
        command = RecordMaintenance(
            number=wave.number, now_ms=self._term.now_ms(), **changes
        )
        await self._term.propose(command)
