"""When a task is suspected of crashing the VMs that start it, and given up.

A VM that falls silent is a reason for suspicion, and no proof that it has crashed. A
job is given up only for VMs that are known to have ended.
"""

from collections.abc import Iterator

from ._active_runs import ActiveRun, ActiveRuns
from ._jobs import Jobs
from ._machine_orders import MachineOrders
from ._records import JobRecord, SilentVm, TaskRecord, VmRecord, iter_tasks
from ._silent_vms import SilentVms
from ._spec import StepSpec, TaskKey
from ._vms import Vms
from ._waves import Waves

__all__ = [
    "MAX_CRASHES",
    "PROBATION_MS",
    "Crashes",
    "is_isolated",
    "is_quarantined",
]

# A run that its VM still lists this long after its start does not crash it. The time
# until the end of a VM is recorded tells nothing, as there may be no leader meanwhile.
PROBATION_MS = 10_000
# After two crashes a task may be given up (platform contract). Other runs on these VMs
# are suspected alike, so that each later run is alone on its VM, for two more crashes.
N_CRASHES_TO_ISOLATE = 2
MAX_CRASHES = 4


def is_isolated(step: StepSpec, task: TaskRecord) -> bool:
    """Return whether a task may share a VM only with other tasks of its job.

    The tasks of a gang need many VMs at the same time and are never isolated.
    """
    return task.n_suspected_crashes >= N_CRASHES_TO_ISOLATE and not step.is_gang


def is_quarantined(task: TaskRecord) -> bool:
    """Return whether a task must not start until more is known of silent VMs.

    Its job would be given up if all of them had crashed.
    """
    return bool(task.silent_vms) and task.n_suspected_crashes >= MAX_CRASHES


class Crashes:
    """The crashes and silences of VMs that are counted under tasks.

    Parameters
    ----------
    silent_vms : SilentVms
        Index of the silent VMs, which it keeps up to date.
    active_runs : ActiveRuns
        Runs that may be alive; it marks those of suspected tasks.
    jobs : Jobs
        Jobs whose tasks may be suspected.
    vms : Vms
        VMs that may crash.
    waves : Waves
        Waves whose maintenance ends VMs.
    machine_orders : MachineOrders
        Orders that end VMs, and the steady time.
    """

    __slots__ = (
        "_active_runs",
        "_jobs",
        "_machine_orders",
        "_silent_vms",
        "_vms",
        "_waves",
    )

    def __init__(
        self,
        silent_vms: SilentVms,
        *,
        active_runs: ActiveRuns,
        jobs: Jobs,
        vms: Vms,
        waves: Waves,
        machine_orders: MachineOrders,
    ) -> None:
        self._silent_vms = silent_vms
        self._active_runs = active_runs
        self._jobs = jobs
        self._vms = vms
        self._waves = waves
        self._machine_orders = machine_orders

    def recent_suspects(self, vm_id: str, now_ms: int) -> list[ActiveRun]:
        """Return the runs of suspects that may still crash their VM."""
        runs = self._active_runs.suspects.get(vm_id)
        if runs is None:
            return []
        first_ms = now_ms - PROBATION_MS
        return [run for run in runs.values() if run.started_ms >= first_ms]

    def count(self, vm_id: str, born_ms: int, now_ms: int) -> list[TaskKey]:
        """Count a crash under each task that may have crashed a VM.

        Return the tasks whose job fails for an earlier silence of that VM.
        """
        silent = self._silent_vms.find(vm_id, born_ms)
        for run in self._suspects(vm_id, born_ms):
            task = self._suspect(run.key)
            if silent in task.silent_vms:
                # The same crash is confirmed below.
                continue
            task.crashed_machines.append(self._vms.machine_of(vm_id))
            self._fail_if_too_many(run.key, now_ms)
        return [] if silent is None else self.confirm(silent, now_ms)

    def note_silence(self, vm_id: str, born_ms: int) -> None:
        """Note a silence under each task that may have crashed the VM."""
        vm = self._vms.by_name.get(vm_id)
        silent = self._silent_vms.find(vm_id, born_ms) or SilentVm(
            vm_id,
            born_ms,
            machine=self._vms.machine_of(vm_id),
            address="" if vm is None else vm.address,
            noted_ms=self._machine_orders.steady_ms,
        )
        for run in self._suspects(vm_id, born_ms):
            task = self._suspect(run.key)
            if silent not in task.silent_vms:
                task.silent_vms.append(silent)
                self._silent_vms.add(silent, run.key)

    def clear_silence(self, vm_id: str, born_ms: int) -> None:
        """Take back that an incarnation fell silent, as it has not crashed."""
        silent = self._silent_vms.find(vm_id, born_ms)
        if silent is None:
            return
        for key in self._silent_vms.tasks_of(silent):
            task = self._remove_silence(silent, key)
            if not task.n_suspected_crashes:
                self._active_runs.remove_suspects(key, task.runs)

    def confirm(self, silent: SilentVm, now_ms: int) -> list[TaskKey]:
        """Count the crash of a VM that was silent; return the tasks given up for it.

        A VM whose machine was to be moved or maintained meanwhile may have ended by
        that order, which proves nothing.
        """
        if self._machine_orders.is_ordered_since(silent.machine, silent.noted_ms):
            self.clear_silence(silent.vm_id, silent.born_ms)
            return []
        given_up = []
        for key in self._silent_vms.tasks_of(silent):
            task = self._remove_silence(silent, key)
            task.crashed_machines.append(silent.machine)
            if self._fail_if_too_many(key, now_ms):
                given_up.append(key)
        return given_up

    def confirm_replaced(self, vm: VmRecord, now_ms: int) -> list[TaskKey]:
        """Count the crashes of the silent VMs whose place a later one has taken.

        Return the tasks given up for them.
        """
        given_up = []
        for silent in self._silent_vms.find_replaced(vm):
            given_up += self.confirm(silent, now_ms)
        return given_up

    def forget(self, job: JobRecord) -> None:
        """Remove the tasks of a job from those suspected for silent VMs."""
        for key, task in iter_tasks(job):
            for vm in task.silent_vms:
                self._silent_vms.discard(vm, key)

    def _remove_silence(self, silent: SilentVm, key: TaskKey) -> TaskRecord:
        """Remove a silence from a task, and return the task."""
        self._silent_vms.discard(silent, key)
        task = self._jobs.task(key)
        task.silent_vms.remove(silent)
        return task

    def _suspects(self, vm_id: str, born_ms: int) -> Iterator[ActiveRun]:
        """Yield the runs that may have ended a VM that ends or falls silent now.

        A VM that was draining has ended as it had announced, and one whose machine was
        to be maintained by the order. A run that its VM has listed for long is not
        suspected, nor a long-running one that was at work: one that crashes its VMs
        does not get that far.
        """
        vm = self._vms.find(vm_id, born_ms)
        if vm is not None and vm.is_draining:
            return
        machine = self._vms.machine_of(vm_id)
        for run in self._active_runs.on_vm(vm_id, born_ms):
            record = self._jobs.run(run.key, run.number)
            if record.is_at_work or record.has_passed_probation:
                continue
            if self._jobs.task(run.key).is_done:
                continue
            if not self._waves.is_ordered_since(machine, run.started_ms):
                yield run

    def _suspect(self, key: TaskKey) -> TaskRecord:
        """Add the runs of a task to those that may crash their VM, and return it."""
        task = self._jobs.task(key)
        self._active_runs.add_suspects(key, task.runs)
        return task

    def _fail_if_too_many(self, key: TaskKey, now_ms: int) -> bool:
        """Give up the job of a task that crashes its VMs; return whether it fails."""
        task = self._jobs.task(key)
        if task.is_done or task.n_crashes < MAX_CRASHES:
            return False
        return self._jobs.fail(self._jobs.by_id[key.job_id], now_ms)
