"""The commands of the replicated log."""

import msgspec

from ._plan import Plan
from ._records import EndKind, VmRecord
from ._spec import JobSpec, TaskKey

__all__ = [
    "CancelJob",
    "Command",
    "ForgetJobs",
    "ForgetVm",
    "NoteVm",
    "RecordEnds",
    "RecordMaintenance",
    "RecordMove",
    "ReplacePlan",
    "RunEnd",
    "RunStart",
    "StartRuns",
    "StartWave",
    "SubmitJob",
]


class _Command(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the commands."""


class ReplacePlan(_Command):
    """Put a plan in force unless a newer one is."""

    plan: Plan


class SubmitJob(_Command):
    """Accept a job, once."""

    spec: JobSpec
    now_ms: int


class CancelJob(_Command):
    """End a job."""

    job_id: str
    now_ms: int


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """A task and the life of the VM that is to run it."""

    key: TaskKey
    vm_id: str
    born_ms: int
    checkpoint: str = ""


class StartRuns(_Command):
    """Give tasks to VMs, each as its next run."""

    starts: tuple[RunStart, ...]
    now_ms: int


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run."""

    key: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class RecordEnds(_Command):
    """Take note of ends on one life of a VM.

    Attributes
    ----------
    cursor : int
        The VM's number of the last of them, 0 when they were not listed by it.
    """

    vm_id: str
    born_ms: int
    ends: tuple[RunEnd, ...]
    now_ms: int
    cursor: int = 0


class NoteVm(_Command):
    """Take over what a VM reports of itself; a new life ends the runs of the old."""

    vm: VmRecord
    now_ms: int


class ForgetVm(_Command):
    """Drop a life of a VM, with all its runs."""

    vm_id: str
    born_ms: int
    now_ms: int


class ForgetJobs(_Command):
    """Drop jobs that have ended."""

    job_ids: tuple[str, ...]


class StartWave(_Command):
    """Have each of some machines maintained."""

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_at_once: int
    now_ms: int


class RecordMaintenance(_Command):
    """Take note of orders of a wave: given, begun, or machines that are gone."""

    number: int
    now_ms: int
    ordered: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    given_up: tuple[str, ...] = ()


class RecordMove(_Command):
    """Take note that a machine is about to be moved, before it is ordered."""

    machine: str
    now_ms: int


Command = (
    ReplacePlan
    | SubmitJob
    | CancelJob
    | StartRuns
    | RecordEnds
    | NoteVm
    | ForgetVm
    | ForgetJobs
    | StartWave
    | RecordMaintenance
    | RecordMove
)
