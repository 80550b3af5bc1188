"""What the placement decides on."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from ..jobs import Amounts, StepSpec, TaskKey

__all__ = ["Urgency", "CandidateVm", "WaitingTask", "is_allowed"]


class Urgency(NamedTuple):
    """Sort key of a waiting job, the lowest first.

    Attributes
    ----------
    band : int
        0 for tasks that run until cancelled, 1 for jobs that can still be on time, 2
        for those that can't, 3 for those that are of no use any more.
    priority : int
        The queue's.
    due_ms : float
        When the job's objective ends.
    """

    band: int
    priority: int
    due_ms: float


class WaitingTask:
    """A task that may start now.

    Parameters
    ----------
    key : TaskKey
        The task.
    step : StepSpec
        Its step.
    customer : str
        Whose limit it counts against; empty for nobody's.
    pool : str
        Pool whose VMs may run it.
    checkpoint : str
        What it resumes from.
    avoided : frozenset of str
        VMs on which it failed before.
    allowed : collection of str or None
        The VMs that may run it; None for any.
    """

    __slots__ = ("allowed", "avoided", "checkpoint", "customer", "key", "pool", "step")

    def __init__(
        self,
        key: TaskKey,
        step: StepSpec,
        *,
        customer: str,
        pool: str,
        checkpoint: str = "",
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        self.key = key
        self.step = step
        self.customer = customer
        self.pool = pool
        self.checkpoint = checkpoint
        self.avoided = avoided
        self.allowed: Collection[str] | None = None


class CandidateVm:
    """A VM that takes new runs, and what is free on it.

    Attributes
    ----------
    free : Amounts
        What its runs leave.
    tasks_of_step : Counter
        Its runs by job, occurrence and step.
    is_avoided : bool
        Whether it is used only where no other VM will do.
    is_anchored : bool
        Whether it runs long-running tasks, and so stays where it is.
    is_due : bool
        Whether its machine is still to be maintained in a wave.
    """

    __slots__ = (
        "born_ms",
        "free",
        "has_long_running",
        "is_avoided",
        "is_awaiting_maintenance",
        "labels",
        "tasks_of_step",
        "vm_id",
    )

    def __init__(
        self,
        *,
        vm_id: str,
        born_ms: int,
        labels: tuple[str, ...],
        free: Amounts,
        tasks_of_step: Counter[tuple],
        is_avoided: bool = False,
        has_long_running: bool = False,
        is_awaiting_maintenance: bool = False,
    ) -> None:
        self.vm_id = vm_id
        self.born_ms = born_ms
        self.labels = labels
        self.free = free
        self.tasks_of_step = tasks_of_step
        self.is_avoided = is_avoided
        self.has_long_running = has_long_running
        self.is_awaiting_maintenance = is_awaiting_maintenance


def is_allowed(
    step: StepSpec, step_key: tuple, labels: tuple[str, ...], tasks_of_step: Counter
) -> bool:
    """Return whether label and spread let one more task of a step run on a VM.

    Parameters
    ----------
    step : StepSpec
        The step.
    step_key : tuple
        Job, occurrence and number of the step.
    labels : tuple of str
        Of the VM.
    tasks_of_step : Counter
        The VM's runs by job, occurrence and step.
    """
    if step.label and step.label not in labels:
        return False
    n_there = tasks_of_step.get(step_key, 0)
    if step.max_per_vm and n_there >= step.max_per_vm:
        return False
    if step.is_long_running and step.disruption_budget:
        # One stop of the VM must not take more tasks away than the budget allows.
        return n_there < step.disruption_budget
    return True
