"""The leader's scheduling: reactions to applied commands, and background work."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta
from functools import singledispatchmethod

from ..jobs import (
    ACTIVE_STATUSES,
    ActiveRun,
    CancelJob,
    Command,
    EndKind,
    ForgetJobs,
    ForgetVm,
    JobRecord,
    NoteVm,
    RecordEnds,
    ReplacePlan,
    RunEnd,
    StartEvacuation,
    StartRuns,
    SubmitJob,
    TaskKey,
    TaskRecord,
    VmChange,
    VmRecord,
    is_quarantined,
    iter_tasks,
)
from ..observe import EventName
from ..placement import ArrivalTrend, DemandForecast
from ..workers import RunTimeModel
from ._admission import AdmissionControl
from ._advice import AdviceCache, Adviser
from ._agent import VmAgent, probe_vm
from ._evacuation_calls import EvacuationCalls
from ._gangs import is_gang_incomplete
from ._job_index import JobIndex
from ._locality import RackLocality
from ._loop_lag import LoopLag
from ._machines import MachineRegistry
from ._moves import MoveManager
from ._ports import MachineOperations, VmOrders
from ._refusals import JobGate
from ._round_load import RoundLoad
from ._rounds import PlacementRounds
from ._settings import LeaderPolicy
from ._speeds import VmSpeeds
from ._supervise import run_forever
from ._term import Term
from ._unconfirmed_vms import UnconfirmedVms
from ._vm_statuses import VmStatus, vm_statuses
from ._waves import WaveManager

__all__ = ["Scheduler"]

MS = timedelta(milliseconds=1)


class Scheduler:
    """Scheduling during one term of leadership.

    It reacts to each command that the replica applies, and places waiting tasks, moves
    machines and carries out waves in the background.

    Parameters
    ----------
    term : Term
        The term of this leader.
    orders : VmOrders
        Client of the endpoints.
    operations : MachineOperations
        Client of the platform.
    adviser : Adviser
        Client of the service that decides which VMs may run a step, for queues that
        need its tickets.
    cfg : LeaderPolicy
        The settings.

    Attributes
    ----------
    agents : dict of str to VmAgent
        The agents of the known VMs, by name.
    unconfirmed : UnconfirmedVms
        The VMs that have not answered this leader yet.
    evacuations : EvacuationCalls
        Operators' calls on evacuations of data centres.
    """

    def __init__(
        self,
        *,
        term: Term,
        orders: VmOrders,
        operations: MachineOperations,
        adviser: Adviser,
        cfg: LeaderPolicy,
    ) -> None:
        self._term = term
        self._state = term.state
        self._orders = orders
        self._cfg = cfg
        penalty = cfg.locality.remote_penalty
        self._run_times = RunTimeModel(cfg.vms.run_times, remote_penalty=penalty)
        self._job_index = JobIndex(term.state)
        # Restarts of tasks for lack of progress in this term.
        self._n_restarts: Counter[TaskKey] = Counter()
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self.agents: dict[str, VmAgent] = {}
        self.unconfirmed = UnconfirmedVms()
        self._speeds: VmSpeeds | None = None
        if cfg.speeds.enabled:
            self._speeds = VmSpeeds(
                term=term,
                agents=self.agents,
                run_times=self._run_times,
                cfg=cfg.speeds,
            )
        self._machines = machines = MachineRegistry(
            term,
            self.agents,
            takeover_delay=cfg.scheduling.takeover_delay,
            max_ejected_share=cfg.vms.health.max_ejected_share,
            evacuation=cfg.evacuation,
            speeds=self._speeds,
        )
        self.evacuations = EvacuationCalls(term=term, cfg=cfg.evacuation)
        self._advice = AdviceCache(
            adviser=adviser,
            candidates=lambda pool: self._rounds.candidates(pool),
            clock=term.clock,
            events=term.events,
            on_advice=self._wake.set,
            cfg=cfg.advice,
        )
        locality = RackLocality(
            term=term,
            machines=machines,
            run_times=self._run_times,
            arriving=lambda pool: self._moves.arriving(pool),
            cfg=cfg.locality,
        )
        self._rounds = PlacementRounds(
            term=term,
            machines=machines,
            job_index=self._job_index,
            advice=self._advice,
            locality=locality if penalty > 1 else None,
            speeds=self._speeds,
        )
        self._round_load = RoundLoad(term)
        self._trend = ArrivalTrend(cfg.arrivals)
        self._forecast = DemandForecast(cfg.forecast) if cfg.forecast.enabled else None
        self._moves = MoveManager(
            term=term,
            machines=machines,
            operations=operations,
            backlog=self._rounds.backlog,
            cfg=cfg,
            trend=self._trend,
            forecast=self._forecast,
        )
        self._admission: AdmissionControl | None = None
        if cfg.admission.enabled:
            self._admission = AdmissionControl(
                term=term,
                machines=machines,
                moves=self._moves,
                job_index=self._job_index,
                backlog=self._rounds.backlog,
                run_times=self._run_times,
                cfg=cfg.admission,
            )
        self._waves = WaveManager(
            tickets=self._rounds.ticket_places,
            term=term,
            machines=machines,
            operations=operations,
            backlog=self._rounds.backlog,
            cfg=cfg,
        )

    def begin(self) -> None:
        """Start an agent for each known VM, and start the background work."""
        for vm in self._state.vms.values():
            self._update_agent(vm)
        for job in self._state.jobs.values():
            has_ended = job.status not in ACTIVE_STATUSES
            for key, task in iter_tasks(job):
                if has_ended or task.is_done:
                    self._stop_runs_of_task(key, task)
                else:
                    self._give_up_incomplete(key, task)
        self._restore_arrivals()
        self._tasks = [
            asyncio.create_task(run_forever(name, work, self._term.events), name=name)
            for name, work in (
                ("placement", self._place_forever),
                ("loop lag", LoopLag(self._term).run),
                ("waves", self._waves.run),
                ("moves", self._moves.run),
                ("advice", self._advice.run),
                ("forgetting", self._forget_forever),
            )
        ]

    def _restore_arrivals(self) -> None:
        """Feed the forecasts with recent jobs that an earlier leader accepted."""
        now_ms = self._term.now_ms()
        first_ms = now_ms - self._cfg.arrivals.long_window // MS
        if self._forecast is not None:
            # The forecast judges by itself which of the jobs are too old.
            first_ms = -1
        jobs = [j for j in self._state.jobs.values() if first_ms < j.accepted_ms]
        for job in sorted(jobs, key=lambda job: job.accepted_ms):
            if job.accepted_ms <= now_ms:
                self._note_arrival(job)

    def _note_arrival(self, job: JobRecord) -> None:
        pool = self._job_index.pool_of(job)
        self._trend.record_job(pool, job.accepted_ms, job.spec.steps)
        if self._forecast is None:
            return
        try:
            self._forecast.record_job(
                pool,
                job.accepted_ms,
                job.spec.steps,
                slack_ms=self._job_index.slack_ms(job),
            )
        except Exception as exc:
            # A job that the forecast can't take would end each new leader's start.
            self._moves.report_forecast_failure(exc)

    @property
    def gate(self) -> JobGate | None:
        """Return what decides on the admission of jobs; None if all are accepted."""
        return self._admission.gate if self._admission is not None else None

    def vm_statuses(self) -> tuple[VmStatus, ...]:
        """Return the VMs as this leader knows them."""
        now = self._term.clock.monotonic()
        agents = self.agents.values()
        return tuple(
            vm_statuses(agents, state=self._state, speeds=self._speeds, now=now)
        )

    def close(self) -> None:
        """Stop the background work and all orders."""
        for task in self._tasks:
            task.cancel()
        for agent in self.agents.values():
            agent.close()

    async def probe(self, vm: VmRecord, patience: timedelta) -> bool | None:
        """Return whether an incarnation answers at its address; None if unknown."""
        return await probe_vm(
            vm, orders=self._orders, fence=self._term.fence, patience=patience
        )

    def note_cold(self, vm: VmRecord, remaining_ms: int) -> None:
        """Record how long a VM reports to be cold."""
        self._machines.ramp.note_cold(vm, remaining_ms)

    def n_not_begun(self, queue: str) -> int:
        """Return the number of a queue's accepted jobs without any started task."""
        return self._job_index.n_not_begun(queue)

    def note_restart(self, key: TaskKey, vm_id: str) -> None:
        """Record the stop of a run whose task is to restart on another VM."""
        self._n_restarts[key] += 1
        self._job_index.note_failure(key, vm_id)

    def n_restarts(self, key: TaskKey) -> int:
        """Return how often a task was restarted for lack of progress in this term."""
        return self._n_restarts[key]

    def note_contact(self) -> None:
        """Start a round of placement after an answer to a poll."""
        self._wake.set()

    def applied(self, command: Command, outcome: object) -> None:
        """React to a command that was applied to the state.

        An error ends neither this process nor, since each leader reacts alike, one
        leader after the other: polls find out what was missed.
        """
        try:
            self._handle(command, outcome)
        except Exception as exc:
            detail = f"reaction to {type(command).__name__} failed: {exc!r}"
            self._term.emit(EventName.WARNING, detail=detail)
        self._wake.set()

    @singledispatchmethod
    def _handle(self, command: Command, outcome: object) -> None:
        """Ignore a command that does not affect the scheduling."""

    @_handle.register
    def _(self, command: ReplacePlan, outcome: int) -> None:
        self._job_index.update_plan()
        self._term.emit(EventName.PLAN_CHANGED, detail=f"version {outcome} in force")

    @_handle.register
    def _(self, command: SubmitJob, outcome: JobRecord) -> None:
        self._job_index.refresh_job(command.spec.job_id)
        is_new = outcome.accepted_ms == command.now_ms
        if is_new and outcome.status in ACTIVE_STATUSES:
            self._note_arrival(outcome)

    @_handle.register
    def _(self, command: CancelJob, outcome: object) -> None:
        self._job_index.refresh_job(command.job_id)
        self._stop_runs(command.job_id)

    @_handle.register
    def _(self, command: StartRuns, outcome: tuple[ActiveRun, ...]) -> None:
        for start in command.starts:
            self._job_index.refresh_job(start.key.job_id)
        for run in outcome:
            agent = self.agents.get(run.vm_id)
            if agent is not None and agent.vm.born_ms == run.born_ms:
                ticket = self._advice.tickets(run.key[:3]).get(run.vm_id, "")
                agent.start(run, ticket)

    @_handle.register
    def _(self, command: RecordEnds, outcome: tuple[RunEnd, ...]) -> None:
        self._handle_ends(command.vm_id, command.ends)
        if command.cursor:
            for end in outcome:
                self._report_unmatched_end(command, end)

    @_handle.register
    def _(self, command: NoteVm, outcome: VmChange) -> None:
        self._handle_ends(command.vm.vm_id, outcome.lost)
        self._handle_given_up(command.vm.vm_id, outcome.given_up)
        self._update_agent(outcome.vm)

    @_handle.register
    def _(self, command: ForgetVm, outcome: VmChange) -> None:
        agent = self.agents.get(command.vm_id)
        if agent is not None and agent.vm.born_ms == command.born_ms:
            agent.close()
            del self.agents[command.vm_id]
        self._handle_ends(command.vm_id, outcome.lost)
        self._handle_given_up(command.vm_id, outcome.given_up)

    @_handle.register
    def _(self, command: StartEvacuation, outcome: bool) -> None:
        for agent in self.agents.values():
            if agent.vm.data_centre == command.data_centre:
                agent.withdraw_starts()

    @_handle.register
    def _(self, command: ForgetJobs, outcome: None) -> None:
        for job_id in command.job_ids:
            self._job_index.forget_job(job_id)
            self._run_times.forget_job(job_id)
            self._advice.forget_job(job_id)
        for key in [key for key in self._n_restarts if key.job_id in command.job_ids]:
            del self._n_restarts[key]

    def _handle_ends(self, vm_id: str, ends: Iterable[RunEnd]) -> None:
        for end in ends:
            self._handle_end(vm_id, end)

    def _handle_given_up(self, vm_id: str, keys: Iterable[TaskKey]) -> None:
        """Stop the jobs that failed, as a VM that was silent is known to have ended."""
        for key in keys:
            self._job_index.refresh_job(key.job_id)
            self._stop_runs(key.job_id)
            task = self._state.task(key)
            self._term.emit(
                EventName.JOB_FAILED,
                request_id=key.job_id,
                vm=vm_id,
                detail=f"{key.label(task.n_runs)}: {_describe_crashes(task)}",
            )

    def _handle_end(self, vm_id: str, end: RunEnd) -> None:
        job_id = end.key.job_id
        self._term.metrics.add_run_end(kind=end.kind.value)
        self._job_index.refresh_job(job_id)
        job = self._state.jobs.get(job_id)
        if job is not None and job.status not in ACTIVE_STATUSES:
            self._stop_runs(job_id)
        task = self._state.task(end.key)
        if task is not None and task.is_done:
            self._stop_runs_of_done(end.key, task)
        elif task is not None and end.kind is not EndKind.BROKEN:
            # A member that was broken had worked, and the others were broken with it.
            self._give_up_gang(end.key)
        if end.kind is EndKind.FAILED:
            self._job_index.note_failure(end.key, vm_id)
        self._update_health(vm_id, end)
        if self._speeds is not None:
            self._speeds.note_end(vm_id, end)
        status = job.status.value if job is not None else "forgotten"
        detail = f"{end.key.label(end.number)} {end.kind.value}; job {status}"
        is_lost = end.kind is EndKind.LOST and task is not None
        if is_lost and task.n_suspected_crashes:
            detail += f"; {_describe_crashes(task)}"
        self._term.emit(EventName.RUN_ENDED, request_id=job_id, vm=vm_id, detail=detail)

    def _report_unmatched_end(self, command: RecordEnds, end: RunEnd) -> None:
        """Log that a VM has reported the end of a run that was closed before."""
        task = self._state.task(end.key)
        if task is None:
            status = "task unknown"
        else:
            status = "task done" if task.is_done else "task not done"
        self._term.emit(
            EventName.RUN_END_UNMATCHED,
            request_id=end.key.job_id,
            vm=command.vm_id,
            detail=f"{end.key.label(end.number)} {end.kind.value} "
            f"on incarnation {command.born_ms}; {status}",
        )

    def _update_health(self, vm_id: str, end: RunEnd) -> None:
        """Update the health of a VM after the end of a run."""
        agent = self.agents.get(vm_id)
        if agent is None:
            return
        if end.kind is EndKind.DONE:
            agent.health.note_success()
        elif end.kind is EndKind.FAILED:
            now = self._term.clock.monotonic()
            job_id = end.key.job_id
            fails_elsewhere = self._job_index.has_failed_elsewhere(job_id, vm_id)
            if agent.health.note_failure(
                job_id, end.key, now, fails_elsewhere=fails_elsewhere
            ):
                detail = f"ejected: runs fail, the last of {job_id}"
                self._term.emit(EventName.VM_AVOIDED, vm=vm_id, detail=detail)

    def _stop_runs(self, job_id: str) -> None:
        """Queue stop orders for the remaining runs of a job that has ended."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        for key, task in iter_tasks(job):
            self._stop_runs_of_task(key, task)

    def _stop_runs_of_done(self, key: TaskKey, task: TaskRecord) -> None:
        """Queue stop orders for the remaining runs of a done task or its gang."""
        if not self._state.step(key).is_gang:
            self._stop_runs_of_task(key, task)
            return
        for member_key, member in self._gang_members(key):
            self._stop_runs_of_task(member_key, member)

    def _give_up_gang(self, key: TaskKey) -> None:
        """Give up the runs of a gang that wait for a member that has ended.

        They would wait until they end by themselves, and the gang until then.
        """
        if self._state.step(key).is_gang:
            for member_key, member in self._gang_members(key):
                self._give_up_incomplete(member_key, member)

    def _give_up_incomplete(self, key: TaskKey, task: TaskRecord) -> None:
        """Give up the runs of a member of which another member has ended."""
        for run in task.runs:
            agent = self.agents.get(run.vm_id)
            if agent is not None and is_gang_incomplete(self._state, key, run.number):
                agent.give_up(key, run.number)

    def _gang_members(self, key: TaskKey) -> Iterator[tuple[TaskKey, TaskRecord]]:
        members = self._state.jobs[key.job_id].tasks[key.occurrence][key.step]
        for index, member in enumerate(members):
            yield key._replace(index=index), member

    def _stop_runs_of_task(self, key: TaskKey, task: TaskRecord) -> None:
        """Queue stop orders for the remaining runs of a task."""
        for run in task.runs:
            agent = self.agents.get(run.vm_id)
            if agent is not None:
                agent.stop(key, run.number)

    def _update_agent(self, vm: VmRecord) -> None:
        agent = self.agents.get(vm.vm_id)
        if agent is not None and agent.vm.born_ms == vm.born_ms:
            agent.update(vm)
            return
        if agent is not None:
            agent.close()
        self._advice.forget_vm(vm.vm_id)
        agent = VmAgent(
            vm,
            term=self._term,
            orders=self._orders,
            listener=self,
            run_times=self._run_times,
            unconfirmed=self.unconfirmed,
            cfg=self._cfg.vms,
            speeds=self._speeds,
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
            pause = self._round_load.pause(self._term.clock.monotonic())
            if pause:
                await asyncio.sleep(pause.total_seconds())
            self._wake.clear()
            if not self._term.is_leading():
                continue
            began_at = self._term.clock.monotonic()
            if self._admission is not None:
                self._admission.update()
            starts = self._rounds.decide()
            self._round_load.record(began_at, self._term.clock.monotonic())
            if starts:
                command = StartRuns(starts=starts, now_ms=self._term.now_ms())
                await self._term.propose_or_log(command)

    async def _forget_forever(self) -> None:
        """Remove ended jobs, and early cancellations, after `keep_ended`."""
        keep = self._cfg.scheduling.keep_ended
        interval = self._cfg.scheduling.forget_interval
        while True:
            await asyncio.sleep(interval.total_seconds())
            horizon_ms = self._term.now_ms() - keep // MS
            job_ids = tuple(
                job_id
                for job_id, job in self._state.jobs.items()
                if job.ended_ms and job.ended_ms < horizon_ms
            )
            early_cancels = tuple(
                key
                for key, at_ms in self._state.early_cancels.items()
                if at_ms < horizon_ms
            )
            if job_ids or early_cancels:
                command = ForgetJobs(job_ids=job_ids, early_cancels=early_cancels)
                await self._term.propose_or_log(command)


def _describe_crashes(task: TaskRecord) -> str:
    """Return how many VMs have crashed under a task or may have, for the log."""
    detail = f"crashed VMs of the task: {task.n_crashes}"
    if task.silent_vms:
        detail += f", silent ones: {len(task.silent_vms)}"
    if is_quarantined(task):
        detail += ", no start until one answers or is replaced"
    return detail
