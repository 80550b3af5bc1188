"""The records of the replicated state."""

import enum

import msgspec

from ._plan import Amounts
from ._spec import JobSpec

__all__ = [
    "ACTIVE_STATUSES",
    "EndKind",
    "JobRecord",
    "JobStatus",
    "RunRecord",
    "TaskRecord",
    "VmRecord",
    "WaveRecord",
]


class JobStatus(enum.StrEnum):
    """How far a job is."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ACTIVE_STATUSES = frozenset({JobStatus.QUEUED, JobStatus.RUNNING})


class EndKind(enum.StrEnum):
    """How a run ended.

    The first six come from its VM. `LOST` is a run that can't be alive any more, and
    `REJECTED` one that never began.
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
        Rises with each run of the task.
    vm_id, born_ms : str, int
        The life of the VM that it was given to.
    checkpoint : str
        What it resumes from; empty for the beginning.
    started_ms : int
        Unix time of the decision, for people and for policy.
    """

    number: int
    vm_id: str
    born_ms: int
    checkpoint: str = ""
    started_ms: int = 0


class TaskRecord(msgspec.Struct, array_like=True):
    """A task's progress.

    Attributes
    ----------
    n_runs : int
        The highest run number so far.
    n_failures : int
        Runs that failed.
    """

    n_runs: int = 0
    n_failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    runs: list[RunRecord] = msgspec.field(default_factory=list)


class JobRecord(msgspec.Struct, array_like=True):
    """A job's progress.

    Attributes
    ----------
    accepted_ms, ended_ms : int
        Unix times; `ended_ms` is 0 while the job is active.
    tasks : list of list of list of TaskRecord
        By occurrence, step and index.
    """

    spec: JobSpec
    accepted_ms: int
    status: JobStatus = JobStatus.QUEUED
    ended_ms: int = 0
    tasks: list[list[list[TaskRecord]]] = msgspec.field(default_factory=list)


class VmRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A life of an endpoint, as it reports itself.

    Attributes
    ----------
    vm_id : str
        Name of the endpoint; a later life may have the same one.
    born_ms : int
        Unix time of its start, which tells its lives apart.
    machine : str
        The VM under it, which outlives it.
    address : str
        ``host:port``.
    labels : tuple of str
        Its kind and its rack.
    is_draining : bool
        Whether it is about to leave and takes no new tasks.
    end_cursor : int
        The ends of its runs up to this number are recorded.
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
        Unix time by which every VM of it should have begun its maintenance.
    ordered : dict of str to int
        Machines whose maintenance was ordered, with the Unix time.
    begun : set of str
        Machines whose maintenance the platform confirmed.
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
        """Return whether every machine that is still there has begun."""
        return not self.remaining()

    def remaining(self) -> list[str]:
        """Return the machines that are still to be maintained."""
        return [m for m in self.machines if m not in self.begun and m not in self.gone]
