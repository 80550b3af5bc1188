"""Commands of the replicated log."""

import msgspec

from ._plan import Plan
from ._records import EndKind, VmRecord
from ._spec import JobSpec, TaskKey

__all__ = [
    "CancelJob",
    "Command",
    "FinishEvacuation",
    "ForgetJobs",
    "ForgetVm",
    "NoteVm",
    "RecordEnds",
    "RecordMaintenance",
    "RecordMove",
    "ReplacePlan",
    "RunEnd",
    "RunStart",
    "StartEvacuation",
    "StartRuns",
    "StartWave",
    "SubmitJob",
]


class _Command(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the commands."""


class ReplacePlan(_Command):
    """Put a plan in force unless a plan of the same or a later version is."""

    plan: Plan


class SubmitJob(_Command):
    """Accept a job unless a job with the same id is known.

    Attributes
    ----------
    call_id : int
        Identifies the call that submits it, see `RelayedCall`; unset if unknown. An
        earlier version of a controller ignores it.
    """

    spec: JobSpec
    now_ms: int
    call_id: int | msgspec.UnsetType = msgspec.UNSET


class CancelJob(_Command):
    """Cancel a job that is still active, or one that has yet to arrive.

    Attributes
    ----------
    customer : str
        The customer that cancels. A later job with the id is cancelled if it is of
        this customer.
    call_id : int
        Identifies the call that cancels, as in `SubmitJob`.
    """

    job_id: str
    now_ms: int
    customer: str = ""
    call_id: int | msgspec.UnsetType = msgspec.UNSET


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """The assignment of a task to an incarnation of a VM.

    Attributes
    ----------
    key : TaskKey
        The task.
    vm_id, born_ms : str, int
        VM that runs the task, and the start time of its incarnation.
    checkpoint : str
        Checkpoint that the run resumes from; empty for none.
    """

    key: TaskKey
    vm_id: str
    born_ms: int
    checkpoint: str = ""


class StartRuns(_Command):
    """Start the next run of each of several tasks."""

    starts: tuple[RunStart, ...]
    now_ms: int


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run.

    Attributes
    ----------
    key : TaskKey
        The task.
    number : int
        Run number.
    kind : EndKind
        How the run ended.
    checkpoint : str
        Last checkpoint of the run; empty for none.
    """

    key: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class RecordEnds(_Command):
    """Record ends of runs, or runs at work, on one incarnation of a VM.

    Attributes
    ----------
    cursor : int
        Number that the VM gave to the last of these ends in its list of ends; 0 if the
        ends do not come from that list.
    has_crashed : bool
        Whether these are all runs of a VM that has crashed. Written by earlier versions
        only, also for silent VMs.
    is_silent : bool
        Whether these are all runs of a VM that is silent and may have crashed. An
        earlier version of a controller ignores it, and `is_alive`.
    is_alive : bool
        Whether the VM has answered again after it had been silent.
    at_work : tuple of (TaskKey, int)
        Tasks and run numbers of long-running runs that are at work on the incarnation.
        An earlier version of a controller ignores them.
    past_probation : tuple of (TaskKey, int)
        Tasks and run numbers of runs that the incarnation has listed for so long that
        they do not crash it. An earlier version of a controller ignores them.
    """

    vm_id: str
    born_ms: int
    ends: tuple[RunEnd, ...]
    now_ms: int
    cursor: int = 0
    has_crashed: bool = False
    is_silent: bool = False
    is_alive: bool = False
    at_work: tuple[tuple[TaskKey, int], ...] = ()
    past_probation: tuple[tuple[TaskKey, int], ...] = ()


class NoteVm(_Command):
    """Record what a VM reports about itself.

    A new incarnation ends the runs of the previous one.
    """

    vm: VmRecord
    now_ms: int


class ForgetVm(_Command):
    """Remove an incarnation of a VM; its runs end as lost.

    Attributes
    ----------
    has_crashed : bool
        Whether the incarnation ended without an order and without notice.
    is_silent : bool
        Whether it is removed only since it does not answer, and may still be alive.
    has_left : bool
        Whether it has announced its end itself. An earlier version of a controller
        ignores it.
    """

    vm_id: str
    born_ms: int
    now_ms: int
    has_crashed: bool = False
    is_silent: bool = False
    has_left: bool = False


class ForgetJobs(_Command):
    """Remove those of the given jobs that have ended and have no run left.

    Attributes
    ----------
    early_cancels : tuple of (str, str)
        Ids and customers of the cancellations of unknown jobs to remove.
    """

    job_ids: tuple[str, ...]
    early_cancels: tuple[tuple[str, str], ...] = ()


class StartWave(_Command):
    """Start a maintenance wave.

    Attributes
    ----------
    number : int
        Number of the wave.
    machines : tuple of str
        Machines to maintain.
    duration_ms : int
        Time from the start of the wave until all maintenance must have begun.
    max_at_once : int
        Maximum number of machines in maintenance at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_at_once: int
    now_ms: int


class RecordMaintenance(_Command):
    """Record the progress of a maintenance wave.

    Attributes
    ----------
    number : int
        Number of the wave.
    ordered : tuple of str
        Machines whose maintenance is about to be ordered.
    begun : tuple of str
        Machines whose maintenance the platform confirmed.
    gone : tuple of str
        Machines that no longer belong to the wave or to the platform.
    given_up : tuple of str
        Machines whose order failed, so that it has to be repeated.
    """

    number: int
    now_ms: int
    ordered: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    given_up: tuple[str, ...] = ()


class RecordMove(_Command):
    """Record that the move of a machine is about to be ordered."""

    machine: str
    now_ms: int


class StartEvacuation(_Command):
    """Have nothing started on the VMs of a data centre until its evacuation ends."""

    data_centre: str
    now_ms: int


class FinishEvacuation(_Command):
    """End the evacuation of a data centre."""

    data_centre: str
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
    | StartEvacuation
    | FinishEvacuation
)
