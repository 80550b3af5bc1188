"""The plan in force, with what earlier plans declared."""

from collections.abc import Iterable

from ._plan import Plan, Queue
from ._records import JobRecord
from ._removed import RemovedEntries

__all__ = ["Plans"]


class Plans:
    """The plan in force, and the entries that it no longer has.

    Attributes
    ----------
    in_force : Plan
        The plan with the highest version; version 0 before the first.
    removed : RemovedEntries
        Queues and customers that it no longer has.
    """

    __slots__ = ("in_force", "removed")

    def __init__(self, in_force: Plan, removed: RemovedEntries) -> None:
        self.in_force = in_force
        self.removed = removed

    def replace(self, plan: Plan, jobs: Iterable[JobRecord]) -> int:
        """Put a plan in force unless it is older; return the version in force.

        Parameters
        ----------
        plan : Plan
            The new plan.
        jobs : iterable of JobRecord
            All known jobs, whose queues and customers are kept.
        """
        if plan.version > self.in_force.version:
            self.removed = self.removed.after_change(self.in_force, plan, jobs)
            self.in_force = plan
        return self.in_force.version

    def queue(self, name: str) -> Queue | None:
        """Return a queue, see `JobsState.queue`."""
        declared = next((q for q in self.in_force.queues if q.name == name), None)
        return declared or self.removed.queues.get(name)
