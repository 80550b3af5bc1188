"""Replicated state of the plan, jobs, VMs and maintenance waves."""

from collections.abc import Iterator
from functools import singledispatchmethod

import msgspec

from ._commands import (
    CancelJob,
    Command,
    ForgetJobs,
    ForgetVm,
    NoteVm,
    RecordEnds,
    RecordMaintenance,
    RecordMove,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    SubmitJob,
)
from ._crashes import MAX_CRASHES, PROBATION_MS
from ._left_vms import LeftVms
from ._machine_orders import MachineOrders
from ._plan import Plan, Queue
from ._records import (
    ACTIVE_STATUSES,
    EndKind,
    JobRecord,
    JobStatus,
    RunRecord,
    SilentVm,
    TaskRecord,
    VmRecord,
    WaveRecord,
)
from ._removed import RemovedEntries
from ._silent_vms import SilentVms
from ._spec import StepSpec, TaskKey
from ._usage import RunUsage

__all__ = ["ActiveRun", "JobsState", "VmChange", "iter_tasks"]

# Far more runs of one task than leaders close while a VM can still report an end.
MAX_UNREPORTED = 32


class ActiveRun(msgspec.Struct, frozen=True):
    """A run that may be alive, with its task; see `RunRecord`."""

    key: TaskKey
    number: int
    vm_id: str
    born_ms: int
    checkpoint: str
    started_ms: int


class VmChange(msgspec.Struct, frozen=True):
    """The effect of a command on a VM.

    Attributes
    ----------
    vm : VmRecord or None
        Newest known incarnation; None if the VM is no longer known.
    lost : tuple of RunEnd
        Ends of the runs that were lost with an incarnation that has ended.
    given_up : tuple of TaskKey
        Tasks whose jobs have failed, since a silent VM is now known to have ended.
    """

    vm: VmRecord | None = None
    lost: tuple[RunEnd, ...] = ()
    given_up: tuple[TaskKey, ...] = ()


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    plan: Plan
    jobs: tuple[JobRecord, ...]
    vms: tuple[VmRecord, ...]
    waves: tuple[WaveRecord, ...]
    machine_orders: MachineOrders = msgspec.field(default_factory=MachineOrders)
    removed: RemovedEntries = msgspec.field(default_factory=RemovedEntries)
    early_cancels: tuple[tuple[str, str, int], ...] = ()
    left_vms: LeftVms = msgspec.field(default_factory=LeftVms)


class JobsState:
    """The state that results from the commands of the log.

    Attributes
    ----------
    plan : Plan
        Plan in force; version 0 before the first.
    removed : RemovedEntries
        Queues and customers that the plan in force no longer has.
    jobs : dict of str to JobRecord
        Jobs by id.
    early_cancels : dict
        Unix times in milliseconds of the cancellations of unknown jobs, by id and
        customer. The job of such a submission is cancelled when it arrives.
    vms : dict of str to VmRecord
        Newest known incarnation of each VM, by name.
    left_vms : LeftVms
        VMs that have left lately.
    waves : dict of int to WaveRecord
        Waves by number.
    machine_orders : MachineOrders
        Times of the last orders for machines.
    runs : dict
        Runs that may be alive, by VM and then by task and run number.
    suspect_runs : dict
        Those of these runs whose task has crashed a VM before, or may have, by VM and
        then by task and run number.
    silent_vms : SilentVms
        VMs that fell silent, with the tasks that are suspected for it.
    usage : RunUsage
        Resources that the runs use.
    """

    __slots__ = (
        "early_cancels",
        "jobs",
        "left_vms",
        "machine_orders",
        "plan",
        "removed",
        "runs",
        "silent_vms",
        "suspect_runs",
        "usage",
        "vms",
        "waves",
    )

    def __init__(self) -> None:
        self.plan = Plan()
        self.removed = RemovedEntries()
        self.jobs: dict[str, JobRecord] = {}
        self.early_cancels: dict[tuple[str, str], int] = {}
        self.vms: dict[str, VmRecord] = {}
        self.left_vms = LeftVms()
        self.waves: dict[int, WaveRecord] = {}
        self.machine_orders = MachineOrders()
        self.runs: dict[str, dict[tuple[TaskKey, int], ActiveRun]] = {}
        self.suspect_runs: dict[str, dict[tuple[TaskKey, int], ActiveRun]] = {}
        self.silent_vms = SilentVms()
        self.usage = RunUsage()

    def apply(self, command: Command) -> object:
        """Apply a command and return its result for the proposer."""
        if (now_ms := getattr(command, "now_ms", None)) is not None:
            self.machine_orders.advance_to(now_ms)
        return self._apply(command)

    def task(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, or None if its job is unknown or has no such task."""
        job = self.jobs.get(key.job_id)
        if job is None:
            return None
        try:
            return job.tasks[key.occurrence][key.step][key.index]
        except IndexError:
            return None

    def step(self, key: TaskKey) -> StepSpec:
        """Return the step of a known task."""
        return self.jobs[key.job_id].spec.steps[key.step]

    def queue(self, name: str) -> Queue | None:
        """Return a queue of the plan in force, or as it was before its removal.

        None stands for a queue that no plan had, or that was removed before the latest
        change of plan and has no jobs.
        """
        declared = next((q for q in self.plan.queues if q.name == name), None)
        return declared or self.removed.queues.get(name)

    def runs_of(self, vm_id: str, born_ms: int | None = None) -> tuple[ActiveRun, ...]:
        """Return the runs that may be alive on a VM, or on one incarnation of it."""
        runs = self.runs.get(vm_id, {}).values()
        return tuple(r for r in runs if born_ms is None or r.born_ms == born_ms)

    def recent_suspects(self, vm_id: str, now_ms: int) -> list[ActiveRun]:
        """Return the runs of suspects that may still crash their VM."""
        runs = self.suspect_runs.get(vm_id)
        if runs is None:
            return []
        first_ms = now_ms - PROBATION_MS
        return [run for run in runs.values() if run.started_ms >= first_ms]

    def run(self, key: TaskKey, number: int) -> RunRecord | None:
        """Return a run that may be alive, or None if there is no such run."""
        task = self.task(key)
        runs = () if task is None else task.runs
        return next((run for run in runs if run.number == number), None)

    def has_left(self, vm_id: str, born_ms: int) -> bool:
        """Return whether an incarnation, or a later one of its VM, has left lately."""
        return self.left_vms.has_left(vm_id, born_ms, self.machine_orders.steady_ms)

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the whole state."""
        return msgspec.msgpack.encode(
            _Snapshot(
                plan=self.plan,
                jobs=tuple(self.jobs.values()),
                vms=tuple(self.vms.values()),
                waves=tuple(self.waves.values()),
                machine_orders=self.machine_orders,
                removed=self.removed,
                early_cancels=tuple(
                    (job_id, customer, at_ms)
                    for (job_id, customer), at_ms in self.early_cancels.items()
                ),
                left_vms=self.left_vms,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.plan = snapshot.plan
        self.removed = snapshot.removed
        self.jobs = {job.spec.job_id: job for job in snapshot.jobs}
        self.early_cancels = {
            (job_id, customer): at_ms
            for job_id, customer, at_ms in snapshot.early_cancels
        }
        self.vms = {vm.vm_id: vm for vm in snapshot.vms}
        self.left_vms = snapshot.left_vms
        self.waves = {wave.number: wave for wave in snapshot.waves}
        self.machine_orders = snapshot.machine_orders
        self.runs = {}
        self.suspect_runs = {}
        self.silent_vms = SilentVms()
        self.usage = RunUsage()
        for job in snapshot.jobs:
            for key, task in iter_tasks(job):
                for run in task.runs:
                    self._add_active_run(key, run)
                for vm in task.silent_vms:
                    self.silent_vms.add(vm, key)

    @singledispatchmethod
    def _apply(self, command: Command) -> object:
        raise TypeError(f"unknown command: {command!r}")

    @_apply.register
    def _(self, command: ReplacePlan) -> int:
        """Return the version in force."""
        if command.plan.version > self.plan.version:
            self.removed = self.removed.after_change(
                self.plan, command.plan, self.jobs.values()
            )
            self.plan = command.plan
        return self.plan.version

    @_apply.register
    def _(self, command: SubmitJob) -> JobRecord:
        """Return the job with this id, whether it is new or known."""
        spec = command.spec
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = JobRecord(spec, command.now_ms, tasks=_new_tasks(command))
            self.jobs[spec.job_id] = job
            cancelled_ms = self.early_cancels.pop((spec.job_id, spec.customer), None)
            if cancelled_ms is not None:
                job.status, job.ended_ms = JobStatus.CANCELLED, command.now_ms
            elif not any(step.n_tasks for step in spec.steps):
                job.status, job.ended_ms = JobStatus.COMPLETED, command.now_ms
        return job

    @_apply.register
    def _(self, command: CancelJob) -> JobRecord | None:
        """Return the job, or None for an unknown id."""
        job = self.jobs.get(command.job_id)
        if job is None:
            key = (command.job_id, command.customer)
            self.early_cancels.setdefault(key, command.now_ms)
        elif job.status in ACTIVE_STATUSES:
            job.status, job.ended_ms = JobStatus.CANCELLED, command.now_ms
        return job

    @_apply.register
    def _(self, command: StartRuns) -> tuple[ActiveRun, ...]:
        """Return the runs that were started.

        A start is ignored if its task or job has ended, if the task has a run and is
        not speculative, or if the VM has another incarnation.
        """
        runs = []
        gang_run_numbers = self._gang_run_numbers(command.starts)
        for start in command.starts:
            run = self._start_run(start, command.now_ms, gang_run_numbers)
            if run is not None:
                runs.append(run)
        return tuple(runs)

    @_apply.register
    def _(self, command: RecordEnds) -> tuple[RunEnd, ...]:
        """Return the ends of runs that were not active on the incarnation."""
        for run in self._runs_at(command, command.at_work):
            run.is_at_work = True
        for run in self._runs_at(command, command.past_probation):
            run.has_passed_probation = True
        if command.has_crashed:
            self._count_crash(command.vm_id, command.born_ms, command.now_ms)
        elif command.is_silent:
            self._note_silence(command.vm_id, command.born_ms)
        elif command.is_alive:
            self._clear_silence(command.vm_id, command.born_ms)
        unmatched = tuple(
            end for end in command.ends if not self._close_run(command, end)
        )
        vm = self.vms.get(command.vm_id)
        is_current = vm is not None and vm.born_ms == command.born_ms
        if is_current and command.cursor > vm.end_cursor:
            self.vms[vm.vm_id] = msgspec.structs.replace(vm, end_cursor=command.cursor)
        return unmatched

    @_apply.register
    def _(self, command: NoteVm) -> VmChange:
        """Return the newest incarnation, and the lost runs of an earlier one."""
        vm = command.vm
        lost: tuple[RunEnd, ...] = ()
        given_up: list[TaskKey] = []
        known = self.vms.get(vm.vm_id)
        if known is not None and known.born_ms > vm.born_ms:
            return VmChange(known)
        if known is not None and known.born_ms == vm.born_ms:
            vm = msgspec.structs.replace(vm, end_cursor=known.end_cursor)
        else:
            if known is not None:
                given_up += self._count_crash(
                    known.vm_id, known.born_ms, command.now_ms
                )
                lost = self._close_lost_runs(known.vm_id, known.born_ms, command.now_ms)
            for silent in self.silent_vms.find_replaced(vm):
                given_up += self._confirm_crash(silent, command.now_ms)
        self.vms[vm.vm_id] = vm
        return VmChange(vm, lost, tuple(given_up))

    @_apply.register
    def _(self, command: ForgetVm) -> VmChange:
        """Return the incarnation that is still known, and the lost runs."""
        vm = self.vms.get(command.vm_id)
        given_up: list[TaskKey] = []
        if command.has_crashed:
            given_up = self._count_crash(command.vm_id, command.born_ms, command.now_ms)
        elif not command.is_silent:
            # It has ended by an order or as it had announced.
            self._clear_silence(command.vm_id, command.born_ms)
        if command.has_left:
            steady_ms = self.machine_orders.steady_ms
            self.left_vms.record(command.vm_id, command.born_ms, steady_ms)
        if vm is not None and vm.born_ms == command.born_ms:
            del self.vms[command.vm_id]
            vm = None
        lost = self._close_lost_runs(command.vm_id, command.born_ms, command.now_ms)
        return VmChange(vm, lost, tuple(given_up))

    @_apply.register
    def _(self, command: ForgetJobs) -> None:
        for job_id in command.job_ids:
            job = self.jobs.get(job_id)
            has_ended = job is not None and job.status not in ACTIVE_STATUSES
            if has_ended and not any(task.runs for _, task in iter_tasks(job)):
                for key, task in iter_tasks(job):
                    for vm in task.silent_vms:
                        self.silent_vms.discard(vm, key)
                del self.jobs[job_id]
        for key in command.early_cancels:
            self.early_cancels.pop(key, None)

    @_apply.register
    def _(self, command: StartWave) -> None:
        if command.number not in self.waves:
            self.waves[command.number] = WaveRecord(
                command.number,
                command.machines,
                command.now_ms + command.duration_ms,
                command.max_at_once,
                command.duration_ms,
            )

    @_apply.register
    def _(self, command: RecordMaintenance) -> None:
        wave = self.waves.get(command.number)
        if wave is None:
            return
        for machine in command.ordered:
            wave.ordered[machine] = command.now_ms
            self.machine_orders.record(machine)
        for machine in command.given_up:
            wave.ordered.pop(machine, None)
        wave.begun.update(command.begun)
        wave.gone.update(command.gone)

    @_apply.register
    def _(self, command: RecordMove) -> None:
        self.machine_orders.record(command.machine)

    def _runs_at(
        self, command: RecordEnds, run_ids: tuple[tuple[TaskKey, int], ...]
    ) -> Iterator[RunRecord]:
        """Yield those of the runs that may be alive on the command's incarnation."""
        for key, number in run_ids:
            run = self.run(key, number)
            place = (command.vm_id, command.born_ms)
            if run is not None and (run.vm_id, run.born_ms) == place:
                yield run

    def _gang_run_numbers(self, starts: tuple[RunStart, ...]) -> dict[tuple, int]:
        """Return the next run number of each gang among the starts.

        All members of a gang get the same run number.
        """
        numbers: dict[tuple, int] = {}
        for start in starts:
            key = start.key
            task = self.task(key)
            if task is not None and self.step(key).is_gang:
                gang = key[:3]
                numbers[gang] = max(numbers.get(gang, 1), task.n_runs + 1)
        return numbers

    def _start_run(
        self, start: RunStart, now_ms: int, gang_run_numbers: dict[tuple, int]
    ) -> ActiveRun | None:
        key = start.key
        task = self.task(key)
        vm = self.vms.get(start.vm_id)
        if task is None or task.is_done or vm is None or vm.born_ms != start.born_ms:
            return None
        job = self.jobs[key.job_id]
        if job.status not in ACTIVE_STATUSES:
            return None
        if task.runs and not self.step(key).is_speculative:
            return None
        task.n_runs = gang_run_numbers.get(key[:3], task.n_runs + 1)
        run = RunRecord(
            task.n_runs, start.vm_id, start.born_ms, start.checkpoint, now_ms
        )
        task.runs.append(run)
        job.status = JobStatus.RUNNING
        return self._add_active_run(key, run)

    def _add_active_run(self, key: TaskKey, run: RunRecord) -> ActiveRun:
        active = ActiveRun(
            key,
            run.number,
            run.vm_id,
            run.born_ms,
            run.checkpoint,
            run.started_ms,
        )
        self.runs.setdefault(run.vm_id, {})[(key, run.number)] = active
        self.usage.add(run.vm_id, key, self.jobs[key.job_id].spec)
        if self.task(key).n_suspected_crashes:
            self._add_suspect_run(active)
        return active

    def _add_suspect_run(self, run: ActiveRun) -> None:
        self.suspect_runs.setdefault(run.vm_id, {})[(run.key, run.number)] = run

    def _remove_suspect_run(self, vm_id: str, key: TaskKey, number: int) -> None:
        suspects = self.suspect_runs.get(vm_id, {})
        if suspects.pop((key, number), None) and not suspects:
            del self.suspect_runs[vm_id]

    def _close_run(self, command: RecordEnds, end: RunEnd) -> bool:
        """Close a run if it is active on the command's incarnation of the VM.

        Return whether it was active. A report of the VM that comes after a leader has
        closed the run still counts: it tells how the run ended.
        """
        vm_runs = self.runs.get(command.vm_id, {})
        active = vm_runs.get((end.key, end.number))
        if active is None or active.born_ms != command.born_ms:
            task = self.task(end.key)
            if command.cursor and task is not None and end.number in task.unreported:
                task.unreported.remove(end.number)
                self._count_end(end, command.now_ms)
            return False
        del vm_runs[(end.key, end.number)]
        self.usage.remove(active.vm_id, end.key, self.jobs[end.key.job_id].spec)
        self._remove_suspect_run(command.vm_id, end.key, end.number)
        task = self.task(end.key)
        task.runs = [r for r in task.runs if r.number != end.number]
        if not command.cursor and not self.step(end.key).is_long_running:
            task.unreported = [*task.unreported, end.number][-MAX_UNREPORTED:]
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._count_end(end, command.now_ms)
        return True

    def _count_end(self, end: RunEnd, now_ms: int) -> None:
        """Count the success or failure of a run for its task and job."""
        job = self.jobs[end.key.job_id]
        step = self.step(end.key)
        if end.kind is EndKind.FAILED:
            task = self.task(end.key)
            task.n_failures += 1
            self._fail_if_out_of_attempts(job, step, task, now_ms)
        elif end.kind is EndKind.DONE and not step.is_long_running:
            self._complete_task(job, step, end.key, now_ms)

    def _fail_if_out_of_attempts(
        self, job: JobRecord, step: StepSpec, task: TaskRecord, now_ms: int
    ) -> None:
        if step.is_long_running or job.status not in ACTIVE_STATUSES or task.is_done:
            return
        queue = self.queue(job.spec.queue)
        if queue is not None and task.n_failures >= queue.max_attempts:
            job.status, job.ended_ms = JobStatus.FAILED, now_ms

    def _complete_task(
        self, job: JobRecord, step: StepSpec, key: TaskKey, now_ms: int
    ) -> None:
        """Mark a task or its gang as done; complete the job with its last task."""
        tasks = job.tasks[key.occurrence][key.step]
        done = tasks if step.is_gang else [tasks[key.index]]
        for task in done:
            task.is_done = True
        if job.status not in ACTIVE_STATUSES:
            return
        if all(task.is_done for _, task in iter_tasks(job)):
            job.status, job.ended_ms = JobStatus.COMPLETED, now_ms

    def _count_crash(self, vm_id: str, born_ms: int, now_ms: int) -> list[TaskKey]:
        """Count a crash under each task that may have crashed a VM.

        Return the tasks whose job fails for an earlier silence of that VM.
        """
        silent = self.silent_vms.find(vm_id, born_ms)
        for run in self._crash_suspects(vm_id, born_ms):
            task = self._suspect(run.key)
            if silent in task.silent_vms:
                # The same crash is confirmed below.
                continue
            task.crashed_machines.append(self._machine_of(vm_id))
            self._fail_if_too_many_crashes(run.key, now_ms)
        return [] if silent is None else self._confirm_crash(silent, now_ms)

    def _note_silence(self, vm_id: str, born_ms: int) -> None:
        """Note a silence under each task that may have crashed the VM."""
        vm = self.vms.get(vm_id)
        silent = self.silent_vms.find(vm_id, born_ms) or SilentVm(
            vm_id,
            born_ms,
            machine=self._machine_of(vm_id),
            address="" if vm is None else vm.address,
            noted_ms=self.machine_orders.steady_ms,
        )
        for run in self._crash_suspects(vm_id, born_ms):
            task = self._suspect(run.key)
            if silent not in task.silent_vms:
                task.silent_vms.append(silent)
                self.silent_vms.add(silent, run.key)

    def _clear_silence(self, vm_id: str, born_ms: int) -> None:
        """Take back that an incarnation fell silent, as it has not crashed."""
        silent = self.silent_vms.find(vm_id, born_ms)
        if silent is None:
            return
        for key in self.silent_vms.tasks_of(silent):
            self._remove_silence(silent, key)
            task = self.task(key)
            if not task.n_suspected_crashes:
                for run in task.runs:
                    self._remove_suspect_run(run.vm_id, key, run.number)

    def _confirm_crash(self, silent: SilentVm, now_ms: int) -> list[TaskKey]:
        """Count the crash of a VM that was silent; return the tasks given up for it.

        A VM whose machine was to be moved or maintained meanwhile may have ended by
        that order, which proves nothing.
        """
        if self.machine_orders.is_ordered_since(silent.machine, silent.noted_ms):
            self._clear_silence(silent.vm_id, silent.born_ms)
            return []
        given_up = []
        for key in self.silent_vms.tasks_of(silent):
            self._remove_silence(silent, key)
            self.task(key).crashed_machines.append(silent.machine)
            if self._fail_if_too_many_crashes(key, now_ms):
                given_up.append(key)
        return given_up

    def _remove_silence(self, silent: SilentVm, key: TaskKey) -> None:
        self.silent_vms.discard(silent, key)
        self.task(key).silent_vms.remove(silent)

    def _crash_suspects(self, vm_id: str, born_ms: int) -> Iterator[ActiveRun]:
        """Yield the runs that may have ended a VM that ends or falls silent now.

        A VM that was draining has ended as it had announced, and one whose machine was
        to be maintained by the order. A run that its VM has listed for long is not
        suspected, nor a long-running one that was at work: one that crashes its VMs
        does not get that far.
        """
        vm = self.vms.get(vm_id)
        if vm is not None and vm.born_ms == born_ms and vm.is_draining:
            return
        machine = self._machine_of(vm_id)
        for run in self.runs_of(vm_id, born_ms):
            record = self.run(run.key, run.number)
            if record.is_at_work or record.has_passed_probation:
                continue
            if self.task(run.key).is_done:
                continue
            if not self._is_maintained_since(machine, run.started_ms):
                yield run

    def _is_maintained_since(self, machine: str, unix_ms: int) -> bool:
        """Return whether maintenance of a machine was ordered at a time or later."""
        times = (wave.ordered.get(machine) for wave in self.waves.values())
        return any(at_ms is not None and at_ms >= unix_ms for at_ms in times)

    def _suspect(self, key: TaskKey) -> TaskRecord:
        """Add the runs of a task to those that may crash their VM, and return it."""
        task = self.task(key)
        for run in task.runs:
            self._add_suspect_run(self.runs[run.vm_id][(key, run.number)])
        return task

    def _machine_of(self, vm_id: str) -> str:
        vm = self.vms.get(vm_id)
        return vm.machine if vm is not None else vm_id

    def _fail_if_too_many_crashes(self, key: TaskKey, now_ms: int) -> bool:
        """Give up the job of a task that crashes its VMs; return whether it fails."""
        job = self.jobs[key.job_id]
        task = self.task(key)
        if task.is_done or task.n_crashes < MAX_CRASHES:
            return False
        if job.status not in ACTIVE_STATUSES:
            return False
        job.status, job.ended_ms = JobStatus.FAILED, now_ms
        return True

    def _close_lost_runs(
        self, vm_id: str, born_ms: int, now_ms: int
    ) -> tuple[RunEnd, ...]:
        """Close all runs on an incarnation of a VM as lost and return their ends."""
        ends = tuple(
            RunEnd(run.key, run.number, EndKind.LOST)
            for run in self.runs_of(vm_id, born_ms)
        )
        command = RecordEnds(vm_id=vm_id, born_ms=born_ms, ends=ends, now_ms=now_ms)
        for end in ends:
            self._close_run(command, end)
        return ends


def iter_tasks(job: JobRecord) -> Iterator[tuple[TaskKey, TaskRecord]]:
    """Yield the tasks of a job with their keys."""
    for occurrence, steps in enumerate(job.tasks):
        for step, tasks in enumerate(steps):
            for index, task in enumerate(tasks):
                yield TaskKey(job.spec.job_id, occurrence, step, index), task


def _new_tasks(command: SubmitJob) -> list[list[list[TaskRecord]]]:
    spec = command.spec
    n_occurrences = spec.repetition.count if spec.repetition else 1
    return [
        [[TaskRecord() for _ in range(step.n_tasks)] for step in spec.steps]
        for _ in range(n_occurrences)
    ]
