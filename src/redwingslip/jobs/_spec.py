"""What a caller hands in: a graph of steps, each of like tasks."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ._plan import Amounts
from .exceptions import InvalidJobError

__all__ = ["JobSpec", "Repetition", "StepSpec", "TaskKey", "check_steps"]


class TaskKey(NamedTuple):
    """Names a task: its job, the occurrence, the step and its place in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def label(self, run_number: int) -> str:
        """Return what a log line calls a run of this task, beside the job's id."""
        return f"{self.occurrence}.{self.step}.{self.index} run {run_number}"


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step of a job.

    Attributes
    ----------
    n_tasks : int
        Number of its tasks.
    need : Amounts
        What each task uses.
    estimate_ms : int
        Rough duration of a task, 0 when unknown.
    after : tuple of int
        Steps that must be done before.
    has_checkpoints : bool
        Whether a task can go on from its last checkpoint.
    is_gang : bool
        Whether its tasks work only while all of them run.
    is_rack_bound : bool
        Whether its tasks are slower on more than one rack.
    label : str
        What a VM must be labelled with; empty for any VM.
    data_rack : str
        Where its data is; empty for nowhere.
    max_per_vm : int
        Tasks of one occurrence on one VM at most; 0 for any number.
    is_speculative : bool
        Whether a task may run twice at a time.
    is_long_running : bool
        Whether its tasks run until the job is cancelled.
    image : str
        What its tasks run.
    target_ms : int
        Tail latency that its tasks owe their own users, 0 for none.
    is_filler : bool
        Whether its tasks use what others leave, beside the VM's capacity.
    disruption_budget : int
        Tasks that may be away at a time for the system's reasons; 0 for no bound.
    """

    n_tasks: int
    need: Amounts = Amounts()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    is_rack_bound: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_vm: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    disruption_budget: int = 0

    @property
    def reserved(self) -> Amounts:
        """Return what a task takes of a VM's capacity."""
        if self.is_filler:
            return Amounts(0, self.need.memory_mb, self.need.accelerators)
        return self.need


class Repetition(msgspec.Struct, frozen=True, kw_only=True):
    """When a job's occurrences are due, by the time of day.

    Attributes
    ----------
    first_at_ms : int
        Unix time of the first one.
    interval_ms : int
        Time between two.
    count : int
        Their number.
    """

    first_at_ms: int
    interval_ms: int
    count: int


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as it was handed in.

    Attributes
    ----------
    job_id : str
        Chosen by the caller; a second job with the same id is the same job.
    payload : str
        Handed to each task.
    """

    job_id: str
    queue: str
    pool: str
    customer: str = ""
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    repetition: Repetition | None = None


def check_steps(steps: Sequence[StepSpec]) -> None:
    """Raise `InvalidJobError` if a step waits for another than an earlier one."""
    for number, step in enumerate(steps):
        if step.n_tasks < 0 or any(not 0 <= i < number for i in step.after):
            raise InvalidJobError(f"steps.{number}.after", "must name earlier steps")
