"""The leader's scheduling: agents for the VMs, and rounds of placement."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ..clock import Clock
from ..consensus import NotLeaderError, ProposalLostError, Replica
from ..jobs import (
    ACTIVE_STATUSES,
    ActiveRun,
    CancelJob,
    Command,
    EndKind,
    ForgetJobs,
    ForgetVm,
    JobsState,
    NoteVm,
    RecordEnds,
    ReplacePlan,
    RunEnd,
    RunRecord,
    RunStart,
    StartRuns,
    SubmitJob,
    TaskKey,
    VmRecord,
    encode_command,
)
from ..observe import Event, EventName, EventSink, Metrics
from ..placement import Placer, PoolRoom, SizingSettings, Urgency, VmRoom, WaitingTask
from ..workers import HealthSettings, LeaseSettings, ProgressSettings
from ._advice import AdviceBook, Adviser, AdviceSettings
from ._agent import AgentSettings, VmAgent
from ._board import JobBoard, PoolBacklog, count_steps
from ._moves import MoveKeeper, MoveSettings
from ._ports import VmOperations, VmOrders
from ._preemption import choose_victims
from ._waves import WaveKeeper, WaveSettings
from .exceptions import CommandLostError, NotLeadingError

__all__ = ["Scheduler", "SchedulingSettings"]

MS = timedelta(milliseconds=1)


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader schedules.

    Attributes
    ----------
    round_interval : timedelta
        Longest time between two rounds of placement.
    keep_ended : timedelta
        How long an ended job is remembered.
    """

    round_interval: timedelta = timedelta(milliseconds=100)
    keep_ended: timedelta = timedelta(seconds=150)


class Scheduler:
    """One leadership's scheduling, from its beginning to its end.

    Parameters
    ----------
    replica : Replica
        Has the commands committed.
    state : JobsState
        The replicated state.
    orders : VmOrders
        Calls to endpoints.
    operations : VmOperations
        Calls to the platform.
    adviser : Adviser
        Knows which VMs may run a step, for queues that need to ask.
    clock : Clock
        The time.
    events : EventSink
        Takes the events.
    metrics : Metrics
        Takes the metrics.
    cfg, agent_cfg, lease_cfg, health_cfg, progress_cfg, wave_cfg, move_cfg, sizing_cfg,
    advice_cfg
        The settings.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        state: JobsState,
        orders: VmOrders,
        operations: VmOperations,
        adviser: Adviser,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
        cfg: SchedulingSettings,
        agent_cfg: AgentSettings,
        lease_cfg: LeaseSettings,
        health_cfg: HealthSettings,
        wave_cfg: WaveSettings,
        move_cfg: MoveSettings,
        progress_cfg: ProgressSettings,
        sizing_cfg: SizingSettings,
        advice_cfg: AdviceSettings,
    ) -> None:
        self._replica = replica
        self._state = state
        self._orders = orders
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._agent_cfg = agent_cfg
        self._lease_cfg = lease_cfg
        self._health_cfg = health_cfg
        self._progress_cfg = progress_cfg
        self._fence = replica.term
        self._wall_offset = _wall_ms(clock) - clock.monotonic() // MS
        self._board = JobBoard(state)
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._backlog: dict[str, PoolBacklog] = {}
        self.agents: dict[str, VmAgent] = {}
        self._advice = AdviceBook(
            adviser=adviser,
            candidates=self._candidates,
            clock=clock,
            events=events,
            on_advice=self._wake.set,
            cfg=advice_cfg,
        )
        self.moves = MoveKeeper(
            state=state,
            agents=self.agents,
            operations=operations,
            propose=self.propose,
            may_order=lambda: self.waves.may_order(),
            is_reserved=lambda machine: self.waves.is_cordoned(machine),
            backlog=self._backlog,
            fence=self._fence,
            clock=clock,
            events=events,
            metrics=metrics,
            cfg=move_cfg,
            sizing=sizing_cfg,
        )
        self.waves = WaveKeeper(
            state=state,
            agents=self.agents,
            operations=operations,
            propose=self.propose,
            is_leading=self.is_leading,
            is_moving=self.moves.is_moving,
            fence=self._fence,
            clock=clock,
            now_ms=self.now_ms,
            backlog=self._backlog,
            events=events,
            metrics=metrics,
            cfg=wave_cfg,
        )

    def begin(self) -> None:
        """Take over the VMs and begin to place."""
        for vm in self._state.vms.values():
            self._follow_vm(vm)
        for job in self._state.jobs.values():
            if job.status not in ACTIVE_STATUSES:
                self._stop_runs(job.spec.job_id)
        self._tasks = [
            asyncio.create_task(self._place_forever(), name="placement"),
            asyncio.create_task(self.waves.run(), name="waves"),
            asyncio.create_task(self.moves.run(), name="moves"),
            asyncio.create_task(self._advice.run(), name="advice"),
            asyncio.create_task(self._forget_forever(), name="forgetting"),
        ]

    def close(self) -> None:
        """Give no further orders."""
        for task in self._tasks:
            task.cancel()
        for agent in self.agents.values():
            agent.close()

    def now_ms(self) -> int:
        """Return Unix time as it was when leadership began, steady since then."""
        return self._wall_offset + self._clock.monotonic() // MS

    def is_leading(self) -> bool:
        """Return whether no other leader can exist."""
        return self._replica.has_quorum_lease()

    def n_not_begun(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have started no task."""
        return self._board.n_not_begun(queue)

    async def propose(self, command: Command) -> object:
        """Have a command committed and return its outcome.

        Raises
        ------
        NotLeadingError
            The command was not taken.
        CommandLostError
            The command may have been taken or not.
        """
        began_at = self._clock.monotonic()
        try:
            outcome = await self._replica.propose(encode_command(command))
        except NotLeaderError as exc:
            raise NotLeadingError("this replica does not lead") from exc
        except ProposalLostError as exc:
            raise CommandLostError(str(exc)) from exc
        self._metrics.record_commit(duration=self._clock.monotonic() - began_at)
        return outcome

    async def record_ends(
        self, vm: VmRecord, ends: tuple[RunEnd, ...], cursor: int
    ) -> None:
        """Have ends recorded; return once they are, or leadership is over."""
        command = RecordEnds(
            vm_id=vm.vm_id,
            born_ms=vm.born_ms,
            ends=ends,
            now_ms=self.now_ms(),
            cursor=cursor,
        )
        await self._propose_or_log(command)

    async def forget_vm(self, vm: VmRecord, reason: str) -> None:
        """Have a life dropped that is over."""
        self._emit(EventName.VM_LOST, vm=vm.vm_id, detail=reason)
        command = ForgetVm(vm_id=vm.vm_id, born_ms=vm.born_ms, now_ms=self.now_ms())
        await self._propose_or_log(command)

    def note_start(self, run: ActiveRun, vm: VmRecord, outcome: str) -> None:
        """Log and count the outcome of a start."""
        self._metrics.add_run_start(outcome=outcome)
        job = self._state.jobs.get(run.key.job_id)
        if job is not None and run.number == 1 and run.key[1:] == (0, 0, 0):
            wait_ms = max(0, run.started_ms - job.accepted_ms)
            self._metrics.record_start_wait(queue=job.spec.queue, duration=wait_ms * MS)
        self._emit(
            EventName.RUN_ORDERED,
            request_id=run.key.job_id,
            vm=vm.vm_id,
            detail=f"{_name(run)} {outcome}",
        )

    def note_restart(self, key: TaskKey, number: int, vm: VmRecord) -> None:
        """Log a run that is stopped since it does not go forward."""
        self._board.note_failure(key, vm.vm_id)
        self._emit(
            EventName.RUN_PREEMPTED,
            request_id=key.job_id,
            vm=vm.vm_id,
            detail=f"{key.occurrence}.{key.step}.{key.index} run {number} stands still",
        )

    def note_contact(self, agent: VmAgent) -> None:
        """Take note that a VM was heard."""
        self._wake.set()

    def applied(self, command: Command, outcome: object) -> None:
        """Follow a command that was applied to the state."""
        self._follow(command, outcome)
        self._wake.set()

    async def _propose_or_log(self, command: Command) -> object:
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandLostError) as exc:
            self._emit(
                EventName.WARNING, detail=f"{type(command).__name__} not taken: {exc}"
            )
            return None

    @singledispatchmethod
    def _follow(self, command: Command, outcome: object) -> None:
        """Follow a command that changes nothing here."""

    @_follow.register
    def _(self, command: ReplacePlan, outcome: int) -> None:
        self._board.change_plan()
        self._emit(EventName.PLAN_CHANGED, detail=f"version {outcome} in force")

    @_follow.register
    def _(self, command: SubmitJob, outcome: object) -> None:
        self._board.change_job(command.spec.job_id)

    @_follow.register
    def _(self, command: CancelJob, outcome: object) -> None:
        self._board.change_job(command.job_id)
        self._stop_runs(command.job_id)

    @_follow.register
    def _(self, command: StartRuns, outcome: tuple[ActiveRun, ...]) -> None:
        for start in command.starts:
            self._board.change_job(start.key.job_id)
        for run in outcome:
            agent = self.agents.get(run.vm_id)
            if agent is not None and agent.vm.born_ms == run.born_ms:
                ticket = self._advice.tickets(run.key[:3]).get(run.vm_id, "")
                agent.start(run, ticket)

    @_follow.register
    def _(self, command: RecordEnds, outcome: None) -> None:
        agent = self.agents.get(command.vm_id)
        for end in command.ends:
            self._follow_end(command.vm_id, end, agent)

    @_follow.register
    def _(self, command: NoteVm, outcome: VmRecord) -> None:
        self._follow_vm(outcome)
        self._change_all_jobs()

    @_follow.register
    def _(self, command: ForgetVm, outcome: None) -> None:
        agent = self.agents.get(command.vm_id)
        if agent is not None and agent.vm.born_ms == command.born_ms:
            agent.close()
            del self.agents[command.vm_id]
        self._change_all_jobs()

    @_follow.register
    def _(self, command: ForgetJobs, outcome: None) -> None:
        for job_id in command.job_ids:
            self._board.change_job(job_id)
            self._advice.forget(job_id)

    def _follow_end(self, vm_id: str, end: RunEnd, agent: VmAgent | None) -> None:
        job_id = end.key.job_id
        self._metrics.add_run_end(kind=end.kind.value)
        self._board.change_job(job_id)
        job = self._state.jobs.get(job_id)
        if job is not None and job.status not in ACTIVE_STATUSES:
            self._stop_runs(job_id)
        if end.kind is EndKind.FAILED:
            self._board.note_failure(end.key, vm_id)
        if agent is not None and end.kind is EndKind.DONE:
            agent.health.note_success()
        elif agent is not None and end.kind is EndKind.FAILED:
            if agent.health.note_failure(job_id, self._clock.monotonic()):
                self._emit(EventName.VM_AVOIDED, vm=vm_id, detail="fails several jobs")
        status = job.status.value if job is not None else "forgotten"
        self._emit(
            EventName.RUN_ENDED,
            request_id=job_id,
            vm=vm_id,
            detail=f"{_name(end)} {end.kind.value}; job {status}",
        )

    def _change_all_jobs(self) -> None:
        for job_id in tuple(self._state.jobs):
            self._board.change_job(job_id)

    def _stop_runs(self, job_id: str) -> None:
        """Stop what still runs of a job that has ended."""
        for vm_id, runs in self._state.runs.items():
            agent = self.agents.get(vm_id)
            for key, number in runs:
                if key.job_id == job_id and agent is not None:
                    agent.stop(key, number)

    def _follow_vm(self, vm: VmRecord) -> None:
        agent = self.agents.get(vm.vm_id)
        if agent is not None and agent.vm.born_ms == vm.born_ms:
            agent.vm = vm
            return
        if agent is not None:
            agent.close()
        agent = VmAgent(
            vm,
            fence=self._fence,
            state=self._state,
            leading=self,
            orders=self._orders,
            clock=self._clock,
            cfg=self._agent_cfg,
            lease_cfg=self._lease_cfg,
            health_cfg=self._health_cfg,
            progress_cfg=self._progress_cfg,
        )
        self.agents[vm.vm_id] = agent
        agent.begin()

    async def _place_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._cfg.round_interval.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if not self.is_leading():
                continue
            starts = self._decide()
            if starts:
                command = StartRuns(starts=starts, now_ms=self.now_ms())
                await self._propose_or_log(command)

    def _decide(self) -> tuple[RunStart, ...]:
        """Return the starts of one round."""
        usage = self._board.usage()
        jobs = self._board.waiting(self.now_ms(), self._is_doubtful)
        self._backlog.clear()
        if not jobs:
            return ()
        limits = {c.name: c.limit for c in self._state.plan.customers}
        placer = Placer(pools=self._rooms(), usage=usage, limits=limits)
        starts: list[RunStart] = []
        for urgency, tasks in jobs:
            starts.extend(self._place_job(placer, urgency, tasks))
        return tuple(starts)

    def _is_doubtful(self, run: RunRecord) -> bool:
        """Return whether a run's VM has not answered lately."""
        agent = self.agents.get(run.vm_id)
        if agent is None:
            return True
        return not agent.lease.is_in_contact(self._clock.monotonic())

    def _place_job(
        self, placer: Placer, urgency: Urgency, tasks: list[WaitingTask]
    ) -> list[RunStart]:
        starts: list[RunStart] = []
        full_steps = set()
        needs_advice = self._board.needs_advice(tasks[0].key.job_id)
        if needs_advice:
            for task in tasks:
                task.allowed = self._advice.tickets(task.key[:3])
        gangs: dict[tuple, list[WaitingTask]] = {}
        for task in tasks:
            if task.step.is_gang:
                gangs.setdefault(task.key[:3], []).append(task)
            elif task.key[:3] not in full_steps:
                start = placer.place(task)
                if start is not None:
                    starts.append(start)
                    continue
                full_steps.add(task.key[:3])
                if needs_advice:
                    self._advice.want(task.key[:3], task.pool)
                self._note_backlog(task, tasks)
                if urgency.band == 0:
                    self._make_room(task)
        for step_key, members in gangs.items():
            placed = placer.place_gang(members)
            starts.extend(placed)
            if not placed:
                self._note_backlog(members[0], members)
                if needs_advice:
                    self._advice.want(step_key, members[0].pool)
        return starts

    def _note_backlog(self, task: WaitingTask, tasks: list[WaitingTask]) -> None:
        """Add what waits of a task's step to its pool's backlog."""
        n_tasks = sum(other.key[:3] == task.key[:3] for other in tasks)
        backlog = self._backlog.setdefault(task.pool, PoolBacklog())
        backlog.cpu += n_tasks * task.step.need.cpu
        if task.step.max_per_vm or task.step.disruption_budget:
            backlog.n_vms = max(backlog.n_vms, n_tasks)

    def _make_room(self, task: WaitingTask) -> None:
        """Stop less urgent runs where a task that must run has no place."""
        for agent, run in choose_victims(task, self._state, self.agents, self._clock):
            self._emit(
                EventName.RUN_PREEMPTED,
                request_id=run.key.job_id,
                vm=run.vm_id,
                detail=f"{_name(run)} for a task of {task.key.job_id}",
            )
            agent.stop(run.key, run.number)

    def _rooms(self) -> dict[str, PoolRoom]:
        now = self._clock.monotonic()
        pools: dict[str, PoolRoom] = {}
        for vm_id, agent in self.agents.items():
            machine = agent.vm.machine
            is_leaving = self.waves.is_cordoned(machine) or self.moves.is_moving(
                machine
            )
            if is_leaving or not agent.is_ready(now):
                continue
            used, steps = count_steps(self._state, vm_id)
            room = VmRoom(
                vm_id=vm_id,
                born_ms=agent.vm.born_ms,
                labels=agent.vm.labels,
                free=agent.vm.capacity - used,
                tasks_of_step=steps,
                data_centre=agent.vm.data_centre,
                is_avoided=agent.health.is_avoided(now),
                is_anchored=self._is_anchored(steps),
            )
            pools.setdefault(agent.vm.pool, PoolRoom([])).vms.append(room)
        return pools

    def _candidates(self, pool: str) -> tuple[str, ...]:
        """Return the VMs of a pool that take runs, those with most room first."""
        now = self._clock.monotonic()
        room = {
            vm_id: agent.vm.capacity.cpu - count_steps(self._state, vm_id)[0].cpu
            for vm_id, agent in self.agents.items()
            if agent.vm.pool == pool and agent.is_ready(now)
        }
        return tuple(sorted(room, key=lambda vm_id: (-room[vm_id], vm_id)))

    def _is_anchored(self, steps: Iterable[tuple[str, int, int]]) -> bool:
        """Return whether any of some steps runs until cancelled."""
        return any(
            self._state.jobs[job_id].spec.steps[number].is_long_running
            for job_id, _, number in steps
        )

    async def _forget_forever(self) -> None:
        """Drop ended jobs after the time for which they are remembered."""
        keep_ms = self._cfg.keep_ended // MS
        while True:
            await asyncio.sleep(self._cfg.keep_ended.total_seconds() / 20)
            horizon = self.now_ms() - keep_ms
            job_ids = tuple(
                job_id
                for job_id, job in self._state.jobs.items()
                if job.ended_ms and job.ended_ms < horizon
            )
            if job_ids:
                await self._propose_or_log(ForgetJobs(job_ids=job_ids))

    def _emit(
        self, name: EventName, *, request_id: str = "", vm: str = "", detail: str = ""
    ) -> None:
        self._events.emit(
            Event(
                name=name,
                request_id=request_id,
                vm=vm,
                term=self._fence,
                detail=detail,
            )
        )


def _name(run: ActiveRun | RunEnd) -> str:
    key = run.key
    return f"{key.occurrence}.{key.step}.{key.index} run {run.number}"


def _wall_ms(clock: Clock) -> int:
    return int(clock.utcnow().timestamp() * 1000)
