"""Records of the replicated state."""

import enum
from collections.abc import Iterator

import msgspec

from ._plan import Amounts
from ._spec import JobSpec, TaskKey

__all__ = [
    "ACTIVE_STATUSES",
    "EndKind",
    "JobRecord",
    "JobStatus",
    "RunRecord",
    "SilentVm",
    "TaskRecord",
    "VmRecord",
    "WaveRecord",
    "iter_tasks",
]


class JobStatus(enum.StrEnum):
    """The status of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ACTIVE_STATUSES = frozenset({JobStatus.QUEUED, JobStatus.RUNNING})


class EndKind(enum.StrEnum):
    """How a run ended.

    The VM reports the first six. The leader records the others: `LOST` for a run that
    can no longer be alive on its VM, `REJECTED` for a run that never started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    REJECTED = "rejected"


class RunRecord(msgspec.Struct, array_like=True):
    """A run of a task that may be alive.

    Attributes
    ----------
    number : int
        Run number, which increases with each run of the task.
    vm_id, born_ms : str, int
        VM that the run was assigned to, and the start time of its incarnation.
    checkpoint : str
        Checkpoint that the run resumes from; empty if it starts from scratch.
    started_ms : int
        Unix time of the leader's decision to start the run, for display and for
        scheduling policies.
    is_at_work : bool
        Whether a long-running run has been at work on its VM.
    has_passed_probation : bool
        Whether its VM has listed it for so long that it does not crash the VM.
    """

    number: int
    vm_id: str
    born_ms: int
    checkpoint: str = ""
    started_ms: int = 0
    is_at_work: bool = False
    has_passed_probation: bool = False


class SilentVm(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation whose lease expired while it did not answer.

    It may have crashed, or may only be out of reach.

    Attributes
    ----------
    noted_ms : int
        Steady time at which the silence was noted, see `MachineOrders`.
    """

    vm_id: str
    born_ms: int
    machine: str
    address: str
    noted_ms: int


class TaskRecord(msgspec.Struct, array_like=True):
    """The progress of a task.

    Attributes
    ----------
    n_runs : int
        Highest run number so far.
    n_failures : int
        Number of runs that failed.
    is_done : bool
        Whether the task has completed.
    checkpoint : str
        Last known checkpoint; empty for none.
    runs : list of RunRecord
        Runs that may be alive.
    crashed_machines : list of str
        The machine of each VM that is known to have ended, without notice, shortly
        after the start of a run. A machine may occur several times.
    unreported : list of int
        Numbers of runs that a leader has closed, and whose end the VM may still report.
        Only the latest are kept, and none for long-running tasks, whose ends change
        nothing.
    silent_vms : list of SilentVm
        The VMs that fell silent shortly after the start of a run. Each leaves the list
        when it answers again, or is known to have ended.
    """

    n_runs: int = 0
    n_failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    runs: list[RunRecord] = msgspec.field(default_factory=list)
    crashed_machines: list[str] = msgspec.field(default_factory=list)
    unreported: list[int] = msgspec.field(default_factory=list)
    silent_vms: list[SilentVm] = msgspec.field(default_factory=list)

    @property
    def n_crashes(self) -> int:
        """Return how many VMs have crashed under the task."""
        return len(self.crashed_machines)

    @property
    def n_suspected_crashes(self) -> int:
        """Return how many VMs have crashed under the task or may have."""
        return len(self.crashed_machines) + len(self.silent_vms)

    @property
    def suspected_machines(self) -> frozenset[str]:
        """Return the machines of the VMs that have crashed under it or may have."""
        silent = (vm.machine for vm in self.silent_vms)
        return frozenset(self.crashed_machines).union(silent)


class JobRecord(msgspec.Struct, array_like=True):
    """The progress of a job.

    Attributes
    ----------
    accepted_ms, ended_ms : int
        Unix times of the acceptance and of the end; `ended_ms` is 0 while the job is
        active.
    tasks : list of list of list of TaskRecord
        Tasks by occurrence, step and index within the step.
    submit_call_id, cancel_call_id : int
        Identify the calls that submitted and cancelled the job, see `RelayedCall`; 0 if
        unknown, or if no call has cancelled it since it was accepted.
    """

    spec: JobSpec
    accepted_ms: int
    status: JobStatus = JobStatus.QUEUED
    ended_ms: int = 0
    tasks: list[list[list[TaskRecord]]] = msgspec.field(default_factory=list)
    submit_call_id: int = 0
    cancel_call_id: int = 0


def iter_tasks(job: JobRecord) -> Iterator[tuple[TaskKey, TaskRecord]]:
    """Yield the tasks of a job with their keys."""
    for occurrence, steps in enumerate(job.tasks):
        for step, tasks in enumerate(steps):
            for index, task in enumerate(tasks):
                yield TaskKey(job.spec.job_id, occurrence, step, index), task


class VmRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An incarnation of a VM, as its endpoint reports it.

    Attributes
    ----------
    vm_id : str
        Name of the VM; a later incarnation may have the same name.
    born_ms : int
        Unix time at which the incarnation started; it identifies the incarnation.
    machine : str
        The machine that the VM runs on; it stays the same across incarnations.
    address : str
        ``host:port``.
    labels : tuple of str
        Labels of its kind and of its rack.
    is_draining : bool
        Whether it is about to leave and accepts no new tasks.
    end_cursor : int
        Ends of its runs are recorded up to this number of the VM's list of ends.
    """

    vm_id: str
    born_ms: int
    machine: str = ""
    pool: str = ""
    address: str = ""
    data_centre: str = ""
    capacity: Amounts = Amounts()
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    end_cursor: int = 0


class WaveRecord(msgspec.Struct, array_like=True):
    """A maintenance wave.

    Attributes
    ----------
    due_ms : int
        Unix time by which the maintenance of every machine should have begun.
    ordered : dict of str to int
        Machines whose maintenance was ordered, with the Unix time of the order.
    begun : set of str
        Machines whose maintenance the platform confirmed.
    gone : set of str
        Machines that no longer belong to the wave or to the platform.
    """

    number: int
    machines: tuple[str, ...]
    due_ms: int
    max_at_once: int
    duration_ms: int
    ordered: dict[str, int] = msgspec.field(default_factory=dict)
    begun: set[str] = msgspec.field(default_factory=set)
    gone: set[str] = msgspec.field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Return whether maintenance has begun on every machine not in `gone`."""
        return not self.remaining()

    def remaining(self) -> list[str]:
        """Return the machines whose maintenance has yet to begin."""
        return [m for m in self.machines if m not in self.begun and m not in self.gone]
