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
from ._crashes import Crashes
from ._jobs import Jobs
from ._plan import Plan, Queue
from ._plans import Plans
from ._records import JobRecord, RunRecord, TaskRecord, VmRecord, iter_tasks
from ._removed import RemovedEntries
from ._runs import Runs
from ._silent_vms import SilentVms
from ._snapshot import Snapshot
from ._spec import StepSpec, TaskKey
from ._usage import RunUsage
from ._vms import Vms
from ._waves import Waves

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


class JobsState:
    """The state that results from the commands of the log.

    It holds the parts of the state, and has each command carried out by those that it
    changes. The dicts below are those of the parts; only commands change them.

    Attributes
    ----------
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
        "_crashes",
        "_jobs",
        "_plans",
        "_runs",
        "_vms",
        "_waves",
        "active_runs",
        "early_cancels",
        "evacuations",
        "jobs",
        "left_vms",
        "machine_orders",
        "silent_vms",
        "sizes",
        "vms",
        "waves",
    )

    def __init__(self) -> None:
        self._set_parts(_empty_snapshot())

    def _set_parts(self, snapshot: Snapshot) -> None:
        """Create the parts of the state from a snapshot, without their indexes."""
        self._plans = Plans(snapshot.plan, snapshot.removed)
        self._jobs = Jobs(snapshot.jobs, snapshot.early_cancels)
        self._vms = Vms(snapshot.vms)
        self._waves = Waves(snapshot.waves)
        self.jobs = self._jobs.by_id
        self.sizes = self._jobs.sizes
        self.early_cancels = self._jobs.early_cancels
        self.vms = self._vms.by_name
        self.waves = self._waves.by_number
        self.left_vms = snapshot.left_vms
        self.machine_orders = snapshot.machine_orders
        self.evacuations = snapshot.evacuations
        self.active_runs = ActiveRuns()
        self.silent_vms = SilentVms()
        self._runs = Runs(
            self.active_runs,
            jobs=self._jobs,
            plans=self._plans,
            vms=self._vms,
            evacuations=self.evacuations,
        )
        self._crashes = Crashes(
            self.silent_vms,
            active_runs=self.active_runs,
            jobs=self._jobs,
            vms=self._vms,
            waves=self._waves,
            machine_orders=self.machine_orders,
        )

    @property
    def plan(self) -> Plan:
        """Return the plan in force; version 0 before the first."""
        return self._plans.in_force

    @property
    def removed(self) -> RemovedEntries:
        """Return queues and customers that the plan in force no longer has."""
        return self._plans.removed

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
        return self._jobs.task(key)

    def step(self, key: TaskKey) -> StepSpec:
        """Return the step of a known task."""
        return self._jobs.step(key)

    def queue(self, name: str) -> Queue | None:
        """Return a queue of the plan in force, or as it was before its removal.

        None stands for a queue that no plan had, or that was removed before the latest
        change of plan and has no jobs.
        """
        return self._plans.queue(name)

    def runs_of(self, vm_id: str, born_ms: int | None = None) -> tuple[ActiveRun, ...]:
        """Return the runs that may be alive on a VM, or on one incarnation of it."""
        return self.active_runs.on_vm(vm_id, born_ms)

    def recent_suspects(self, vm_id: str, now_ms: int) -> list[ActiveRun]:
        """Return the runs of suspects that may still crash their VM."""
        return self._crashes.recent_suspects(vm_id, now_ms)

    def run(self, key: TaskKey, number: int) -> RunRecord | None:
        """Return a run that may be alive, or None if there is no such run."""
        return self._jobs.run(key, number)

    def has_left(self, vm_id: str, born_ms: int) -> bool:
        """Return whether an incarnation, or a later one of its VM, has left lately."""
        return self.left_vms.has_left(vm_id, born_ms, self.machine_orders.steady_ms)

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the whole state."""
        return msgspec.msgpack.encode(
            Snapshot(
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
        self._set_parts(_empty_snapshot())
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        self._set_parts(snapshot)
        for job in snapshot.jobs:
            for key, task in iter_tasks(job):
                for run in task.runs:
                    self._runs.add(key, run)
                for vm in task.silent_vms:
                    self.silent_vms.add(vm, key)

    @singledispatchmethod
    def _apply(self, command: Command) -> object:
        raise TypeError(f"unknown command: {command!r}")

    @_apply.register
    def _(self, command: ReplacePlan) -> int:
        """Return the version in force."""
        return self._plans.replace(command.plan, self.jobs.values())

    @_apply.register
    def _(self, command: SubmitJob) -> JobRecord:
        """Return the job with this id, whether it is new or known."""
        return self._jobs.submit(command)

    @_apply.register
    def _(self, command: CancelJob) -> JobRecord | None:
        """Return the job, or None for an unknown id."""
        return self._jobs.cancel(command)

    @_apply.register
    def _(self, command: StartRuns) -> tuple[ActiveRun, ...]:
        """Return the runs that were started.

        A start is ignored if its task or job has ended, if the task has a run and is
        not speculative, if the VM has another incarnation, or if its data centre is
        being evacuated.
        """
        return self._runs.start(command)

    @_apply.register
    def _(self, command: RecordEnds) -> tuple[RunEnd, ...]:
        """Return the ends of runs that were not active on the incarnation."""
        self._runs.note_progress(command)
        if command.has_crashed:
            self._crashes.count(command.vm_id, command.born_ms, command.now_ms)
        elif command.is_silent:
            self._crashes.note_silence(command.vm_id, command.born_ms)
        elif command.is_alive:
            self._crashes.clear_silence(command.vm_id, command.born_ms)
        unmatched = tuple(
            end for end in command.ends if not self._runs.close(command, end)
        )
        self._vms.advance_cursor(command.vm_id, command.born_ms, command.cursor)
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
        if known is None or known.born_ms < vm.born_ms:
            if known is not None:
                place = (known.vm_id, known.born_ms)
                given_up += self._crashes.count(*place, command.now_ms)
                lost = self._runs.close_lost(*place, command.now_ms)
            given_up += self._crashes.confirm_replaced(vm, command.now_ms)
        return VmChange(self._vms.note(vm), lost, tuple(given_up))

    @_apply.register
    def _(self, command: ForgetVm) -> VmChange:
        """Return the incarnation that is still known, and the lost runs."""
        place = (command.vm_id, command.born_ms)
        given_up: list[TaskKey] = []
        if command.has_crashed:
            given_up = self._crashes.count(*place, command.now_ms)
        elif not command.is_silent:
            # It has ended by an order or as it had announced.
            self._crashes.clear_silence(*place)
        if command.has_left:
            self.left_vms.record(*place, self.machine_orders.steady_ms)
        vm = self._vms.remove(*place)
        lost = self._runs.close_lost(*place, command.now_ms)
        return VmChange(vm, lost, tuple(given_up))

    @_apply.register
    def _(self, command: ForgetJobs) -> None:
        for job in self._jobs.forget(command):
            self._crashes.forget(job)

    @_apply.register
    def _(self, command: StartWave) -> None:
        self._waves.start(command)

    @_apply.register
    def _(self, command: RecordMaintenance) -> None:
        if self._waves.record(command):
            for machine in command.ordered:
                self.machine_orders.record(machine)

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


def _empty_snapshot() -> Snapshot:
    return Snapshot(plan=Plan(), jobs=(), vms=(), waves=())
