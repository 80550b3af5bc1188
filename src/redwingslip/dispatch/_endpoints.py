"""State that a dispatcher keeps for each endpoint and VM of its pool."""

from collections import deque
from datetime import timedelta

from ..fleet import VmHealth, VmPhase, VmRecord, VmSpec
from ..peers import EndpointReport
from ._health import EndpointHealth
from ._queue import Shape
from ._tasks import Task

__all__ = ["Endpoint", "VmState"]

MAX_RETIRED_INCARNATIONS = 8


class VmState:
    """A VM of the pool, its endpoints and the amounts that open tasks use.

    Attributes
    ----------
    n_slots_used, n_accelerators_used, memory_mb_used : int
        Amounts that open tasks use.
    n_slots_unknown : int
        Slots on which tasks of older epochs may run although no report has listed
        them.
    last_contact_at : timedelta or None
        Monotonic time of the last report of any of its endpoints under the current
        fencing token.
    reported_health : VmHealth or None
        The health that was last proposed.
    health_reported_at : timedelta or None
        Monotonic time of that proposal.
    drain_reported_at : timedelta or None
        Monotonic time at which it was last reported as drained.
    """

    __slots__ = (
        "drain_reported_at",
        "endpoints",
        "health_reported_at",
        "last_contact_at",
        "memory_mb_used",
        "n_accelerators_used",
        "n_slots_unknown",
        "n_slots_used",
        "record",
        "reported_health",
        "spec",
    )

    def __init__(self, record: VmRecord, spec: VmSpec | None) -> None:
        self.record = record
        self.spec = spec
        self.endpoints: dict[str, Endpoint] = {}
        self.n_slots_used = 0
        self.n_slots_unknown = 0
        self.n_accelerators_used = 0
        self.memory_mb_used = 0
        self.last_contact_at: timedelta | None = None
        self.health_reported_at: timedelta | None = None
        self.reported_health: VmHealth | None = None
        self.drain_reported_at: timedelta | None = None

    @property
    def n_slots_free(self) -> int:
        """Slots that no open task uses."""
        return self.record.slots - self.n_slots_used

    @property
    def takes_work(self) -> bool:
        """Whether its phase allows new tasks."""
        return self.record.phase is VmPhase.SERVING

    @property
    def must_drain(self) -> bool:
        """Whether it is to leave the pool or to be rebooted."""
        if self.record.phase is VmPhase.LEAVING:
            return True
        return self.record.phase is VmPhase.MAINTENANCE and not self.record.rebooted

    def can_ever_hold(self, slots: int, accelerators: int, memory_mb: int) -> bool:
        """Return whether the VM, if nothing else ran on it, could run a task."""
        if slots > self.record.slots or self.record.phase is VmPhase.LEAVING:
            return False
        if self.spec is None:
            return not accelerators
        if accelerators > self.spec.accelerators:
            return False
        return memory_mb <= self.spec.memory_mb

    def has_free_capacity(self, accelerators: int, memory_mb: int) -> bool:
        """Return whether enough accelerators and memory are free for a task."""
        if not accelerators and not memory_mb:
            return True
        if self.spec is None:
            return not accelerators
        if accelerators > self.spec.accelerators - self.n_accelerators_used:
            return False
        return memory_mb <= self.spec.memory_mb - self.memory_mb_used

    def hold(self, task: Task, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the amounts that a task uses."""
        self.n_slots_used += sign * task.slots
        self.n_accelerators_used += sign * task.accelerators
        self.memory_mb_used += sign * task.memory_mb


class Endpoint:
    """An endpoint of the pool.

    Attributes
    ----------
    last_report : EndpointReport
        Its latest report.
    last_contact_at : timedelta
        Monotonic time at which that report arrived.
    has_reported_epoch : bool
        Whether it has reported with a fencing token of this epoch. After that no task
        of an older epoch can run on it without being listed.
    tasks : dict
        Open tasks by permit id.
    retired : deque of str
        Incarnations that were replaced. A delayed report of one of them is ignored
        while its successor is in contact.
    reserved_for : Shape or None
        The only shape that may be placed on it, while it is reserved.
    n_free : int
        Free slots as recorded in the `SlotIndex`.
    n_slots_counted : int
        Slots of this endpoint that are included in `PoolCapacity.n_slots`.
    n_failures : int
        Failures in a row that count against it.
    succeeded_at : timedelta or None
        Monotonic time at which a call on it last completed.
    backoff : timedelta
        Duration of its last ejection; 0 after a successful probe.
    ejected_until : timedelta
        Monotonic time at which its ejection ends.
    """

    __slots__ = (
        "backoff",
        "ejected_until",
        "has_reported_epoch",
        "health",
        "last_contact_at",
        "last_report",
        "n_failures",
        "n_free",
        "n_slots_counted",
        "n_slots_used",
        "reserved_for",
        "retired",
        "succeeded_at",
        "tasks",
        "vm",
    )

    def __init__(
        self, last_report: EndpointReport, vm: VmState, now: timedelta
    ) -> None:
        self.last_report = last_report
        self.vm = vm
        self.last_contact_at = now
        self.health = EndpointHealth()
        self.has_reported_epoch = False
        self.tasks: dict[str, Task] = {}
        self.n_slots_used = 0
        self.retired: deque[str] = deque(maxlen=MAX_RETIRED_INCARNATIONS)
        self.reserved_for: Shape | None = None
        self.n_free = 0
        self.n_slots_counted = 0
        self.n_failures = 0
        self.succeeded_at: timedelta | None = None
        self.backoff = timedelta(0)
        self.ejected_until = timedelta(0)

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint."""
        return self.last_report.endpoint_id

    @property
    def takes_work(self) -> bool:
        """Whether its health and its VM allow new tasks."""
        return self.health.takes_work and self.vm.takes_work

    def count_free_slots(self) -> int:
        """Return how many slots can be granted on it.

        A probing endpoint gets one task at a time.
        """
        if not self.takes_work:
            return 0
        free = min(self.last_report.slots - self.n_slots_used, self.vm.n_slots_free)
        if self.health.state == "probing":
            return 0 if self.tasks else min(free, 1)
        return max(free, 0)

    def retire(self, incarnation: str) -> None:
        """Record that an incarnation of this endpoint was replaced."""
        if incarnation not in self.retired:
            self.retired.append(incarnation)

    def hold(self, task: Task) -> None:
        """Add an open task."""
        self.tasks[task.permit_id] = task
        self.n_slots_used += task.slots

    def release(self, task: Task) -> None:
        """Remove a task, if it is on this endpoint."""
        if self.tasks.pop(task.permit_id, None) is not None:
            self.n_slots_used -= task.slots

    def clock_at(self, now: timedelta) -> timedelta:
        """Return the least time that the endpoint's own clock shows at `now`."""
        return self.last_report.clock + (now - self.last_contact_at)
