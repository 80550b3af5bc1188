"""Endpoints and VMs as one dispatcher sees them."""

from collections import deque
from datetime import timedelta

from ..fleet import VmHealth, VmPhase, VmRecord, VmSpec
from ..peers import EndpointReport
from ._health import EndpointHealth
from ._queue import Shape
from ._tasks import Task

__all__ = ["Endpoint", "VmState"]

N_RETIRED_KEPT = 8


class VmState:
    """A VM of the pool and what is held of it.

    Attributes
    ----------
    n_slots_used, n_accelerators_used, memory_mb_used : int
        Held by open tasks.
    heard_at : timedelta or None
        When any of its endpoints last reported under the current token.
    said_health : VmHealth or None
        The health that was last proposed, at `reported_at`.
    drained_at : timedelta or None
        When it was last said to be drained.
    """

    __slots__ = (
        "drained_at",
        "endpoints",
        "heard_at",
        "memory_mb_used",
        "n_accelerators_used",
        "n_slots_unknown",
        "n_slots_used",
        "record",
        "reported_at",
        "said_health",
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
        self.heard_at: timedelta | None = None
        self.reported_at: timedelta | None = None
        self.said_health: VmHealth | None = None
        self.drained_at: timedelta | None = None

    @property
    def n_slots_free(self) -> int:
        """Slots that no task holds."""
        return self.record.slots - self.n_slots_used

    @property
    def takes_work(self) -> bool:
        """Whether its phase admits new work."""
        return self.record.phase is VmPhase.SERVING

    @property
    def must_drain(self) -> bool:
        """Whether it is to leave or to be rebooted."""
        if self.record.phase is VmPhase.LEAVING:
            return True
        return self.record.phase is VmPhase.MAINTENANCE and not self.record.rebooted

    def can_ever_hold(self, slots: int, accelerators: int, memory_mb: int) -> bool:
        """Return whether the whole VM is large enough."""
        if slots > self.record.slots or self.record.phase is VmPhase.LEAVING:
            return False
        if self.spec is None:
            return not accelerators
        if accelerators > self.spec.accelerators:
            return False
        return memory_mb <= self.spec.memory_mb

    def has_room(self, accelerators: int, memory_mb: int) -> bool:
        """Return whether it has accelerators and memory free now."""
        if not accelerators and not memory_mb:
            return True
        if self.spec is None:
            return not accelerators
        if accelerators > self.spec.accelerators - self.n_accelerators_used:
            return False
        return memory_mb <= self.spec.memory_mb - self.memory_mb_used

    def hold(self, task: Task, sign: int) -> None:
        """Take (sign 1) or give back (sign -1) what a task holds."""
        self.n_slots_used += sign * task.slots
        self.n_accelerators_used += sign * task.accelerators
        self.memory_mb_used += sign * task.memory_mb


class Endpoint:
    """An endpoint of the pool.

    Attributes
    ----------
    last : EndpointReport
        Its newest report.
    heard_at : timedelta
        Monotonic time at which that came.
    is_cleared : bool
        Whether it ever reported under a token of this epoch, so that no task of an
        older epoch can be on it unlisted.
    tasks : dict
        Its open tasks by permit id.
    retired : deque of str
        Incarnations that were replaced; a late report of one is ignored
        while its successor is heard.
    reserved_for : Shape or None
        The only shape that is placed on it, while it is kept free for that.
    n_free : int
        Free slots that the index knows of.
    n_slots_counted : int
        Slots that the pool's sum holds of it.
    n_failures : int
        Failures in a row that speak against it.
    """

    __slots__ = (
        "backoff",
        "ejected_until",
        "health",
        "heard_at",
        "is_cleared",
        "last",
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

    def __init__(self, last: EndpointReport, vm: VmState, now: timedelta) -> None:
        self.last = last
        self.vm = vm
        self.heard_at = now
        self.health = EndpointHealth()
        self.is_cleared = False
        self.tasks: dict[str, Task] = {}
        self.n_slots_used = 0
        self.retired: deque[str] = deque(maxlen=N_RETIRED_KEPT)
        self.reserved_for: Shape | None = None
        self.n_free = 0
        self.n_slots_counted = 0
        self.n_failures = 0
        self.succeeded_at: timedelta | None = None
        self.backoff = timedelta(0)
        self.ejected_until = timedelta(0)

    @property
    def endpoint_id(self) -> str:
        """Its id."""
        return self.last.endpoint_id

    @property
    def takes_work(self) -> bool:
        """Whether any work may be given to it."""
        return self.health.takes_work and self.vm.takes_work

    def count_free(self) -> int:
        """Return how many slots may be given out on it now."""
        if not self.takes_work:
            return 0
        free = min(self.last.slots - self.n_slots_used, self.vm.n_slots_free)
        if self.health.state == "probing":
            return 0 if self.tasks else min(free, 1)
        return max(free, 0)

    def retire(self, incarnation: str) -> None:
        """Note that a process of this endpoint was replaced."""
        if incarnation not in self.retired:
            self.retired.append(incarnation)

    def hold(self, task: Task) -> None:
        """Take in an open task."""
        self.tasks[task.permit_id] = task
        self.n_slots_used += task.slots

    def release(self, task: Task) -> None:
        """Drop a task, if it is here."""
        if self.tasks.pop(task.permit_id, None) is not None:
            self.n_slots_used -= task.slots

    def clock_at(self, now: timedelta) -> timedelta:
        """Return a time that the endpoint's own clock has surely reached."""
        return self.last.clock + (now - self.heard_at)
