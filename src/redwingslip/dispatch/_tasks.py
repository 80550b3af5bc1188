"""Tasks that run, or may run, on the endpoints of a pool."""

import heapq
from datetime import timedelta

from ..peers import Permit, PermitRequest, RunResult

__all__ = ["PermitId", "Task", "TaskTable"]


class PermitId:
    """Permit ids that carry the size of the task.

    A later dispatcher finds in an endpoint's report the ids of tasks that it has no
    permit for, and reads from them what they hold.
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
        """Return the id of the permit of a number."""
        size = f"{self.slots}/{self.accelerators}/{self.memory_mb}"
        return f"{pool}/{self.epoch}/{number}/{size}"

    @classmethod
    def decode(cls, permit_id: str) -> "PermitId":
        """Read an id; what is not one of ours holds one slot."""
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
    """A permit that is open, or a task of an older epoch that an endpoint reported.

    Attributes
    ----------
    req, permit : optional
        None for a task of an older epoch.
    granted_at : timedelta
        Monotonic time.
    starts_until : timedelta
        Monotonic time after which it surely does not start any more.
    ends_by : timedelta
        Monotonic time at which it has surely ended.
    result : RunResult or None
        How it ended, once its entry said so.
    used_seconds : float or None
        How long it ran, once that is known.
    charged : float
        Slot-seconds that its team was charged.
    is_open : bool
        False once it has ended.
    """

    __slots__ = (
        "accelerators",
        "charged",
        "endpoint_id",
        "ends_by",
        "granted_at",
        "is_open",
        "memory_mb",
        "permit",
        "permit_id",
        "req",
        "result",
        "slots",
        "starts_until",
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
        self.starts_until = now
        self.ends_by = ends_by
        self.charged = 0.0
        self.req: PermitRequest | None = None
        self.permit: Permit | None = None
        self.result: RunResult | None = None
        self.used_seconds: float | None = None
        self.is_open = True

    @property
    def is_foreign(self) -> bool:
        """Whether another epoch granted it."""
        return self.permit is None


class TaskTable:
    """All open tasks of a pool, and when each has surely ended."""

    __slots__ = ("_by_id", "_ends", "_number")

    def __init__(self) -> None:
        self._by_id: dict[str, Task] = {}
        self._ends: list[tuple[timedelta, int, Task]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(self._by_id.values())

    def get(self, permit_id: str) -> Task | None:
        """Return an open task, or None."""
        return self._by_id.get(permit_id)

    def add(self, task: Task) -> None:
        """Take in an open task."""
        self._by_id[task.permit_id] = task
        self._push(task)

    def _push(self, task: Task) -> None:
        self._number += 1
        heapq.heappush(self._ends, (task.ends_by, self._number, task))

    def remove(self, task: Task) -> None:
        """Drop a task that has ended."""
        task.is_open = False
        self._by_id.pop(task.permit_id, None)

    def take_ended(self, now: timedelta) -> list[Task]:
        """Return the tasks that have surely ended; they are still to be removed."""
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
