"""The leader's scheduling: agents for the VMs, and rounds of placement."""

import asyncio
from datetime import timedelta
from functools import singledispatchmethod

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
    StartRuns,
    SubmitJob,
    TaskKey,
    VmRecord,
    encode_command,
)
from ..observe import Event, EventName, EventSink, Metrics
from ..placement import WaitingTask
from ._advice import AdviceBook, Adviser
from ._agent import VmAgent
from ._board import JobBoard
from ._moves import MoveKeeper
from ._ports import VmOperations, VmOrders
from ._rounds import PlacementRounds
from ._settings import LeaderPolicy
from ._supervise import run_forever
from ._waves import WaveKeeper
from .exceptions import CommandLostError, NotLeadingError

__all__ = ["Scheduler"]

MS = timedelta(milliseconds=1)


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
    cfg : LeaderPolicy
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
        cfg: LeaderPolicy,
    ) -> None:
        self._replica = replica
        self._state = state
        self._orders = orders
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._fence = replica.term
        self._wall_offset = _wall_ms(clock) - clock.monotonic() // MS
        self._board = JobBoard(state)
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self.agents: dict[str, VmAgent] = {}
        self._advice = AdviceBook(
            adviser=adviser,
            candidates=lambda pool: self._rounds.candidates(pool),
            clock=clock,
            events=events,
            on_advice=self._wake.set,
            cfg=cfg.advice,
        )
        self._rounds = PlacementRounds(
            state=state,
            agents=self.agents,
            board=self._board,
            advice=self._advice,
            is_leaving=lambda machine: (
                self.waves.is_cordoned(machine) or self.moves.is_moving(machine)
            ),
            clock=clock,
            on_preempted=self._note_preempted,
        )
        self.moves = MoveKeeper(
            state=state,
            agents=self.agents,
            operations=operations,
            propose=self.propose,
            may_order=lambda: self.waves.may_order(),
            is_reserved=lambda machine: self.waves.is_cordoned(machine),
            backlog=self._rounds.backlog,
            fence=self._fence,
            clock=clock,
            events=events,
            metrics=metrics,
            cfg=cfg.moves,
            sizing=cfg.sizing,
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
            backlog=self._rounds.backlog,
            events=events,
            metrics=metrics,
            cfg=cfg.waves,
        )

    def begin(self) -> None:
        """Take over the VMs and begin to place."""
        for vm in self._state.vms.values():
            self._follow_vm(vm)
        for job in self._state.jobs.values():
            if job.status not in ACTIVE_STATUSES:
                self._stop_runs(job.spec.job_id)
        self._tasks = [
            asyncio.create_task(run_forever(name, work, self._events), name=name)
            for name, work in (
                ("placement", self._place_forever),
                ("waves", self.waves.run),
                ("moves", self.moves.run),
                ("advice", self._advice.run),
                ("forgetting", self._forget_forever),
            )
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

    def note_contact(self) -> None:
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
        elif (
            agent is not None
            and end.kind is EndKind.FAILED
            and agent.health.note_failure(job_id, self._clock.monotonic())
        ):
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
            agent.update(vm)
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
            events=self._events,
            cfg=self._cfg.vms,
        )
        self.agents[vm.vm_id] = agent
        agent.begin()

    async def _place_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(
                    self._cfg.scheduling.round_interval.total_seconds()
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if not self.is_leading():
                continue
            starts = self._rounds.decide(self.now_ms())
            if starts:
                command = StartRuns(starts=starts, now_ms=self.now_ms())
                await self._propose_or_log(command)

    def _note_preempted(self, run: ActiveRun, task: WaitingTask) -> None:
        """Log a run that gives way."""
        self._emit(
            EventName.RUN_PREEMPTED,
            request_id=run.key.job_id,
            vm=run.vm_id,
            detail=f"{_name(run)} for a task of {task.key.job_id}",
        )

    async def _forget_forever(self) -> None:
        """Drop ended jobs after the time for which they are remembered."""
        keep_ms = self._cfg.scheduling.keep_ended // MS
        while True:
            await asyncio.sleep(self._cfg.scheduling.keep_ended.total_seconds() / 20)
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
