"""The specification of a job: a graph of steps, each with a number of equal tasks."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ._plan import Amounts
from .exceptions import InvalidJobError

__all__ = [
    "MAX_TASKS",
    "JobSpec",
    "Repetition",
    "StepSpec",
    "TaskKey",
    "check_steps",
]

# Every replica keeps a record of each task of a job, and creates them all at once.
MAX_TASKS = 100_000


class TaskKey(NamedTuple):
    """Identifies a task.

    Attributes
    ----------
    job_id : str
        Id of the job.
    occurrence : int
        Number of the occurrence of a repeated job, otherwise 0.
    step : int
        Number of the step.
    index : int
        Index of the task within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def label(self, run_number: int) -> str:
        """Return the name of a run of this task in log lines, without the job's id."""
        return f"{self.occurrence}.{self.step}.{self.index} run {run_number}"


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step of a job.

    Attributes
    ----------
    n_tasks : int
        Number of tasks.
    need : Amounts
        Resources that each task uses.
    estimate_ms : int
        Rough run time of a task in milliseconds; 0 if unknown.
    after : tuple of int
        Numbers of the steps that must be done before this step starts.
    has_checkpoints : bool
        Whether a task can resume from its last checkpoint.
    is_gang : bool
        Whether the tasks make progress only while all of them run.
    is_rack_bound : bool
        Whether the tasks run slower if they are spread over several racks.
    label : str
        Label that a VM must have to run the tasks; empty for any VM.
    data_rack : str
        Rack that holds the input data; empty for none.
    max_per_vm : int
        Maximum number of tasks of one occurrence on one VM; 0 for no limit.
    is_speculative : bool
        Whether a task may have two runs at the same time.
    is_long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run.
    target_ms : int
        Tail latency that the tasks promise to their own users, in milliseconds; 0 for
        none.
    is_filler : bool
        Whether the tasks use only CPU time that other tasks leave, without reserving
        any of the VM's CPU capacity.
    disruption_budget : int
        Maximum number of tasks that the system may interrupt at a time; 0 for no limit.
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
        """Return the part of a VM's capacity that a task reserves.

        A filler reserves memory and accelerators, but no CPU.
        """
        if self.is_filler:
            return Amounts(0, self.need.memory_mb, self.need.accelerators)
        return self.need


class Repetition(msgspec.Struct, frozen=True, kw_only=True):
    """The schedule of a repeated job.

    Attributes
    ----------
    first_at_ms : int
        Unix time at which the first occurrence is due.
    interval_ms : int
        Time between two occurrences.
    count : int
        Number of occurrences.
    """

    first_at_ms: int
    interval_ms: int
    count: int


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as its caller submitted it.

    Attributes
    ----------
    job_id : str
        Id chosen by the caller. A second submission with the same id refers to the same
        job.
    queue, pool, customer : str
        Queue, pool and customer of the job; `customer` is empty for a job that was
        submitted without a key.
    payload : str
        Payload passed to each task.
    repetition : Repetition or None
        Schedule of a repeated job; None for a job that runs once.
    """

    job_id: str
    queue: str
    pool: str
    customer: str = ""
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    repetition: Repetition | None = None


def check_steps(steps: Sequence[StepSpec], *, n_occurrences: int = 1) -> None:
    """Check the graph of a job's steps, and the number of its tasks.

    Raises
    ------
    InvalidJobError
        If a step names a step in `after` that does not precede it, or has a negative
        number of tasks, or if there are more than `MAX_TASKS` tasks in all
        occurrences.
    """
    for number, step in enumerate(steps):
        if step.n_tasks < 0 or any(not 0 <= i < number for i in step.after):
            raise InvalidJobError(
                f"steps.{number}.after", "must contain numbers of earlier steps only"
            )
    # A step or an occurrence without tasks takes memory too.
    n_per_occurrence = max(1, sum(max(1, step.n_tasks) for step in steps))
    if n_per_occurrence * n_occurrences > MAX_TASKS:
        raise InvalidJobError(
            "steps", f"at most {MAX_TASKS} tasks are accepted in all occurrences"
        )
