"""Replicated state of the plan, jobs, VMs and maintenance waves."""

from functools import singledispatchmethod

import msgspec

from ._active_runs import ActiveRun, ActiveRuns
from ._commands import (
    CancelJob,
    Command,
    FinishEvacuation,
    ForgetJobs,
    ForgetVm,
    NoteVm,
    RecordEnds,
    RecordMaintenance,
    RecordMove,
    ReplacePlan,
    RunEnd,
    StartEvacuation,
    StartRuns,
    StartWave,
    SubmitJob,
)
from ._crashes import (
    PROBATION_MS,
    clear_silence,
    confirm_crash,
    count_crash,
    note_silence,
)
from ._evacuations import Evacuations
from ._left_vms import LeftVms
from ._machine_orders import MachineOrders
from ._plan import Plan, Queue
from ._records import (
    ACTIVE_STATUSES,
    JobRecord,
    JobStatus,
    RunRecord,
    TaskRecord,
    VmRecord,
    WaveRecord,
    iter_tasks,
)
from ._removed import RemovedEntries
from ._run_changes import (
    add_active_run,
    close_lost_runs,
    close_run,
    find_runs,
    start_runs,
)
from ._silent_vms import SilentVms
from ._size import JobSizes
from ._spec import StepSpec, TaskKey
from ._usage import RunUsage

__all__ = ["JobsState", "VmChange"]


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
    evacuations: Evacuations = msgspec.field(default_factory=Evacuations)


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
    evacuations : Evacuations
        Data centres in which nothing is started.
    active_runs : ActiveRuns
        Runs that may be alive.
    silent_vms : SilentVms
        VMs that fell silent, with the tasks that are suspected for it.
    sizes : JobSizes
        Bytes of the jobs.
    """

    __slots__ = (
        "active_runs",
        "early_cancels",
        "evacuations",
        "jobs",
        "left_vms",
        "machine_orders",
        "plan",
        "removed",
        "silent_vms",
        "sizes",
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
        self.evacuations = Evacuations()
        self.active_runs = ActiveRuns()
        self.silent_vms = SilentVms()
        self.sizes = JobSizes()

    @property
    def runs(self) -> dict[str, dict[tuple[TaskKey, int], ActiveRun]]:
        """Return the runs that may be alive, see `ActiveRuns`."""
        return self.active_runs.by_vm

    @property
    def suspect_runs(self) -> dict[str, dict[tuple[TaskKey, int], ActiveRun]]:
        """Return those whose task has crashed a VM before, or may have."""
        return self.active_runs.suspects

    @property
    def usage(self) -> RunUsage:
        """Return the resources that the runs use."""
        return self.active_runs.usage

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
        return self.active_runs.on_vm(vm_id, born_ms)

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
                evacuations=self.evacuations,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded snapshot."""
        # The former jobs and those of the snapshot may not fit into memory together.
        self.jobs = {}
        self.active_runs = ActiveRuns()
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
        self.evacuations = snapshot.evacuations
        self.silent_vms = SilentVms()
        self.sizes = JobSizes()
        for job in snapshot.jobs:
            self.sizes.add(job.spec)
            for key, task in iter_tasks(job):
                for run in task.runs:
                    add_active_run(self, key, run)
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
            self.sizes.add(spec)
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
        not speculative, if the VM has another incarnation, or if its data centre is
        being evacuated.
        """
        return start_runs(self, command)

    @_apply.register
    def _(self, command: RecordEnds) -> tuple[RunEnd, ...]:
        """Return the ends of runs that were not active on the incarnation."""
        for run in find_runs(self, command, command.at_work):
            run.is_at_work = True
        for run in find_runs(self, command, command.past_probation):
            run.has_passed_probation = True
        if command.has_crashed:
            count_crash(self, command.vm_id, command.born_ms, command.now_ms)
        elif command.is_silent:
            note_silence(self, command.vm_id, command.born_ms)
        elif command.is_alive:
            clear_silence(self, command.vm_id, command.born_ms)
        unmatched = tuple(
            end for end in command.ends if not close_run(self, command, end)
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
                given_up += count_crash(
                    self, known.vm_id, known.born_ms, command.now_ms
                )
                lost = close_lost_runs(self, known.vm_id, known.born_ms, command.now_ms)
            for silent in self.silent_vms.find_replaced(vm):
                given_up += confirm_crash(self, silent, command.now_ms)
        self.vms[vm.vm_id] = vm
        return VmChange(vm, lost, tuple(given_up))

    @_apply.register
    def _(self, command: ForgetVm) -> VmChange:
        """Return the incarnation that is still known, and the lost runs."""
        vm = self.vms.get(command.vm_id)
        given_up: list[TaskKey] = []
        if command.has_crashed:
            given_up = count_crash(self, command.vm_id, command.born_ms, command.now_ms)
        elif not command.is_silent:
            # It has ended by an order or as it had announced.
            clear_silence(self, command.vm_id, command.born_ms)
        if command.has_left:
            steady_ms = self.machine_orders.steady_ms
            self.left_vms.record(command.vm_id, command.born_ms, steady_ms)
        if vm is not None and vm.born_ms == command.born_ms:
            del self.vms[command.vm_id]
            vm = None
        lost = close_lost_runs(self, command.vm_id, command.born_ms, command.now_ms)
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
                self.sizes.remove(job_id)
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

    @_apply.register
    def _(self, command: StartEvacuation) -> bool:
        """Return whether the data centre was not being evacuated before."""
        return self.evacuations.start(command.data_centre, command.now_ms)

    @_apply.register
    def _(self, command: FinishEvacuation) -> bool:
        """Return whether the data centre was being evacuated."""
        return self.evacuations.finish(command.data_centre, command.now_ms)


def _new_tasks(command: SubmitJob) -> list[list[list[TaskRecord]]]:
    spec = command.spec
    n_occurrences = spec.repetition.count if spec.repetition else 1
    return [
        [[TaskRecord() for _ in range(step.n_tasks)] for step in spec.steps]
        for _ in range(n_occurrences)
    ]
