"""Tasks that run or may run on the endpoints of a pool, and their permit ids."""

import heapq
from datetime import timedelta

from ..peers import Permit, PermitRequest, RunResult

__all__ = ["PermitId", "Task", "TaskTable"]


class PermitId:
    """The parts of a permit id, which carries the epoch and size of its task.

    The reports of endpoints list tasks by permit id. A later dispatcher has no permits
    of the tasks that an older epoch granted, and reads their sizes from the ids.
    """

    __slots__ = ("accelerators", "epoch", "memory_mb", "slots")

    def __init__(
        self, *, epoch: int, slots: int, accelerators: int, memory_mb: int
    ) -> None:
        self.epoch = epoch
        self.slots = slots
        self.accelerators = accelerators
        self.memory_mb = memory_mb

    def encode(self, pool: str, number: int) -> str:
        """Return the id of the permit with this number."""
        size = f"{self.slots}/{self.accelerators}/{self.memory_mb}"
        return f"{pool}/{self.epoch}/{number}/{size}"

    @classmethod
    def decode(cls, permit_id: str) -> "PermitId":
        """Parse a permit id; an id in another format stands for one slot."""
        try:
            _, epoch, _, slots, accelerators, memory_mb = permit_id.split("/")
            return cls(
                epoch=int(epoch),
                slots=max(int(slots), 1),
                accelerators=int(accelerators),
                memory_mb=int(memory_mb),
            )
        except ValueError:
            return cls(epoch=0, slots=1, accelerators=0, memory_mb=0)


class Task:
    """An open permit, or a task of an older epoch that an endpoint has listed.

    Attributes
    ----------
    req : PermitRequest or None
        The request; None for a task of an older epoch.
    permit : Permit or None
        The permit; None for a task of an older epoch.
    granted_at : timedelta
        Monotonic time of the grant, or of the first report that listed the task.
    latest_start_at : timedelta
        Monotonic time after which the task can no longer start.
    ends_by : timedelta
        Monotonic time by which the task must have ended.
    result : RunResult or None
        The result that its entry has reported.
    used_seconds : float or None
        How long the task ran, if its entry has reported it.
    charged_slot_seconds : float
        Slot-seconds that its team was charged at the grant.
    is_open : bool
        False once the task has ended.
    """

    __slots__ = (
        "accelerators",
        "charged_slot_seconds",
        "endpoint_id",
        "ends_by",
        "granted_at",
        "is_open",
        "latest_start_at",
        "memory_mb",
        "permit",
        "permit_id",
        "req",
        "result",
        "slots",
        "team",
        "used_seconds",
        "vm",
    )

    def __init__(
        self,
        *,
        permit_id: str,
        team: str,
        endpoint_id: str,
        vm: str,
        size: PermitId,
        now: timedelta,
        ends_by: timedelta,
    ) -> None:
        self.permit_id = permit_id
        self.team = team
        self.endpoint_id = endpoint_id
        self.vm = vm
        self.slots = size.slots
        self.accelerators = size.accelerators
        self.memory_mb = size.memory_mb
        self.granted_at = now
        self.latest_start_at = now
        self.ends_by = ends_by
        self.charged_slot_seconds = 0.0
        self.req: PermitRequest | None = None
        self.permit: Permit | None = None
        self.result: RunResult | None = None
        self.used_seconds: float | None = None
        self.is_open = True

    @property
    def is_from_older_epoch(self) -> bool:
        """Whether an older epoch granted it."""
        return self.permit is None


class TaskTable:
    """The open tasks of a pool, by permit id and by the time they must have ended."""

    __slots__ = ("_by_id", "_ends", "_n_pushed")

    def __init__(self) -> None:
        self._by_id: dict[str, Task] = {}
        self._ends: list[tuple[timedelta, int, Task]] = []
        self._n_pushed = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(self._by_id.values())

    def get(self, permit_id: str) -> Task | None:
        """Return an open task, or None."""
        return self._by_id.get(permit_id)

    def add(self, task: Task) -> None:
        """Add an open task."""
        self._by_id[task.permit_id] = task
        self._push(task)

    def _push(self, task: Task) -> None:
        self._n_pushed += 1
        heapq.heappush(self._ends, (task.ends_by, self._n_pushed, task))

    def remove(self, task: Task) -> None:
        """Remove a task that has ended."""
        task.is_open = False
        self._by_id.pop(task.permit_id, None)

    def take_ended(self, now: timedelta) -> list[Task]:
        """Return the tasks that must have ended by now.

        The caller has to remove them from the table.
        """
        ended = []
        while self._ends and self._ends[0][0] <= now:
            _, _, task = heapq.heappop(self._ends)
            if not task.is_open:
                continue
            if task.ends_by > now:
                self._push(task)
                continue
            ended.append(task)
        return ended
