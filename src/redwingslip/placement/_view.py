"""Input of the placement: waiting tasks and the VMs that can take them."""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..jobs import Amounts, StepSpec, TaskKey

__all__ = [
    "CandidateVm",
    "Urgency",
    "WaitingTask",
    "is_allowed",
    "is_far",
    "keeps_budget",
]


class Urgency(NamedTuple):
    """Sort key of a waiting job; the lowest is placed first.

    Attributes
    ----------
    band : int
        0 for jobs with long-running tasks, 1 for jobs that can still meet their
        deadline, 2 for jobs that will miss it, 3 for jobs that will end so late that
        their result has no more use.
    turn : int
        0, or a higher number for a job that goes after others of its band, since its
        pool can't run all of them in time; see `order_jobs`.
    priority : int
        Priority of the job's queue; 0 goes first.
    due_ms : float
        Unix time of the job's deadline, or of its acceptance in band 0.
    """

    band: int
    turn: int
    priority: int
    due_ms: float


class WaitingTask:
    """A task that is ready to start.

    Parameters
    ----------
    key : TaskKey
        The task.
    step : StepSpec
        The step that the task belongs to.
    customer : str
        Customer whose limit the task counts against; empty for none.
    pool : str
        Pool whose VMs may run the task.
    checkpoint : str
        Checkpoint that the task resumes from; empty for none.
    avoided : frozenset of str
        VMs on which the task failed before.
    crashed_machines : frozenset of str
        Machines of the VMs that crashed shortly after they started the task.
    is_isolated : bool
        Whether the task may share a VM only with other tasks of its job.

    Attributes
    ----------
    allowed : collection of str or None
        VMs that may run the task; None for any VM of the pool.
    min_speed : float
        Lowest speed of a VM on which its job still ends in time. On a slower one it is
        placed only if there is no other.
    has_waited : bool
        Whether the task has waited so long that it need not wait for a VM that suits it
        better. An isolated one may then share a VM with jobs that are not suspected.
    """

    __slots__ = (
        "allowed",
        "avoided",
        "checkpoint",
        "crashed_machines",
        "customer",
        "has_waited",
        "is_isolated",
        "key",
        "min_speed",
        "pool",
        "step",
    )

    def __init__(
        self,
        key: TaskKey,
        step: StepSpec,
        *,
        customer: str,
        pool: str,
        checkpoint: str = "",
        avoided: frozenset[str] = frozenset(),
        crashed_machines: frozenset[str] = frozenset(),
        is_isolated: bool = False,
    ) -> None:
        self.key = key
        self.step = step
        self.customer = customer
        self.pool = pool
        self.checkpoint = checkpoint
        self.avoided = avoided
        self.crashed_machines = crashed_machines
        self.is_isolated = is_isolated
        self.allowed: Collection[str] | None = None
        self.has_waited = False
        self.min_speed = 0.0

    @property
    def takes_any_vm(self) -> bool:
        """Return whether the task starts on any VM with room that `is_allowed`.

        The users of a long-running task have nothing while it waits for a better one.
        """
        return self.has_waited and self.step.is_long_running

    @property
    def has_conditions(self) -> bool:
        """Return whether it may exclude a VM for a reason other than its capacity."""
        step = self.step
        return (
            self.allowed is not None
            or self.is_isolated
            or bool(step.label or step.max_per_vm or step.disruption_budget)
        )

    @property
    def is_suspect(self) -> bool:
        """Return whether a VM has crashed shortly after it started the task."""
        return bool(self.crashed_machines)


class CandidateVm:
    """A VM that accepts new runs, with its free capacity.

    Attributes
    ----------
    machine : str
        The machine that it runs on.
    capacity, free : Amounts
        Its whole capacity, and the part that its runs leave free.
    tasks_of_step : Counter
        Number of its runs by job, occurrence and step.
    is_avoided : bool
        Whether tasks are placed on it only if no other VM is suitable.
    is_ejected : bool
        Whether only a long-running task that has waited may start on it, since runs
        fail on it.
    has_long_running : bool
        Whether it runs long-running tasks. Its machine then stays in the pool and
        switched on.
    is_awaiting_maintenance : bool
        Whether a wave has yet to maintain its machine.
    suspect_jobs : set of str
        The jobs of tasks that may crash it: they may have crashed a VM before, and have
        started here not long ago.
    isolated_job : str
        The job whose tasks alone may run on it; empty for any.
    speed : float
        Progress of its runs in relation to those on normal VMs; 1 for a normal one.
    is_retried : bool
        Whether the next short task is to be placed as if the VM were normal, so that
        its recovery is noticed.
    """

    __slots__ = (
        "born_ms",
        "capacity",
        "free",
        "has_long_running",
        "is_avoided",
        "is_awaiting_maintenance",
        "is_ejected",
        "is_retried",
        "isolated_job",
        "labels",
        "machine",
        "speed",
        "suspect_jobs",
        "tasks_of_step",
        "vm_id",
    )

    def __init__(
        self,
        *,
        vm_id: str,
        born_ms: int,
        machine: str,
        labels: tuple[str, ...],
        capacity: Amounts,
        free: Amounts,
        tasks_of_step: Counter[tuple],
        is_avoided: bool = False,
        is_ejected: bool = False,
        has_long_running: bool = False,
        is_awaiting_maintenance: bool = False,
        suspect_jobs: Iterable[str] = (),
        isolated_job: str = "",
    ) -> None:
        self.vm_id = vm_id
        self.born_ms = born_ms
        self.machine = machine
        self.labels = labels
        self.capacity = capacity
        self.free = free
        self.tasks_of_step = tasks_of_step
        self.is_avoided = is_avoided
        self.is_ejected = is_ejected
        self.has_long_running = has_long_running
        self.is_awaiting_maintenance = is_awaiting_maintenance
        self.suspect_jobs = set(suspect_jobs)
        self.isolated_job = isolated_job
        self.speed = 1.0
        self.is_retried = False

    @property
    def n_runs(self) -> int:
        """Return the number of its runs."""
        return self.tasks_of_step.total()

    def may_isolate(self, job_id: str) -> bool:
        """Return whether it runs no task of any other job."""
        return all(key[0] == job_id for key, n in self.tasks_of_step.items() if n)


def is_allowed(
    step: StepSpec, step_key: tuple, labels: tuple[str, ...], tasks_of_step: Counter
) -> bool:
    """Return whether the rules of a step allow one more of its tasks on a VM.

    The rules are the required label and the maximum per VM.

    Parameters
    ----------
    step : StepSpec
        The step.
    step_key : tuple
        Id of the job, occurrence and number of the step.
    labels : tuple of str
        Labels of the VM.
    tasks_of_step : Counter
        Number of the VM's runs by job, occurrence and step.
    """
    if step.label and step.label not in labels:
        return False
    return not step.max_per_vm or tasks_of_step.get(step_key, 0) < step.max_per_vm


def is_far(step: StepSpec, labels: tuple[str, ...]) -> bool:
    """Return whether a VM with the given labels is outside the data rack of a step."""
    return bool(step.data_rack) and step.data_rack not in labels


def keeps_budget(step: StepSpec, step_key: tuple, tasks_of_step: Counter) -> bool:
    """Return whether the loss of a VM stays within a step's disruption budget.

    The VM is taken to run one more task of the step. See `is_allowed` for the
    parameters.
    """
    if not step.is_long_running or not step.disruption_budget:
        return True
    return tasks_of_step.get(step_key, 0) < step.disruption_budget
