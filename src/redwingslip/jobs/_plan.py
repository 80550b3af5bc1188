"""The plan: queues, pools and customers, replaced as a whole by version."""

from collections.abc import Iterator

import msgspec

from .exceptions import InvalidPlanError

__all__ = ["NO_AMOUNTS", "Amounts", "Customer", "Plan", "Pool", "Queue", "check_plan"]


class Amounts(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of what a task uses and a VM has.

    Attributes
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Megabytes.
    accelerators : int
        Whole devices.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Amounts") -> bool:
        """Return whether `room` holds as much of everything."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def __add__(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return Amounts(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def times(self, count: int) -> "Amounts":
        """Return the sum of `count` of these."""
        return Amounts(
            self.cpu * count, self.memory_mb * count, self.accelerators * count
        )

    def __sub__(self, other: "Amounts") -> "Amounts":
        """Return the difference, which may be negative."""
        return Amounts(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_AMOUNTS = Amounts()


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Where jobs are handed in.

    Attributes
    ----------
    name : str
        Its name.
    host, path_prefix : str
        What callers address it by; the longest prefix wins.
    pool : str
        The pool whose VMs run its tasks.
    is_public : bool
        Whether it takes jobs without a key.
    priority : int
        0 goes first.
    max_attempts : int
        Failures of a task after which its job fails.
    stretch : float
        A job is on time within this multiple of its longest chain of work.
    target_latency_ms : int
        What is added to that.
    needs_advice : bool
        Whether an adviser says which VMs may run a step.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    is_public: bool = False
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    needs_advice: bool = False


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of VMs.

    Attributes
    ----------
    is_standby : bool
        Whether its VMs are off until they are moved to another pool.
    """

    name: str
    is_standby: bool = False


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer, its keys, its share when all is full and its upper limit.

    Attributes
    ----------
    limit : Amounts
        What it may have running; 0 of anything is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Amounts = NO_AMOUNTS


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that operators declare, under one version.

    Attributes
    ----------
    version : int
        The highest one is in force.
    document : bytes
        The plan as it was handed in, for those who read it back.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    document: bytes = b""


def check_plan(plan: Plan) -> None:
    """Raise `InvalidPlanError` if a plan contradicts itself."""
    for error in _find_errors(plan):
        raise error


def _find_errors(plan: Plan) -> Iterator[InvalidPlanError]:
    pools = {pool.name for pool in plan.pools}
    places = set()
    names = set()
    for queue in plan.queues:
        if queue.pool not in pools:
            yield InvalidPlanError(
                f"queue {queue.name}", f"there is no pool {queue.pool!r}"
            )
        place = (queue.host, queue.path_prefix)
        if place in places:
            yield InvalidPlanError(
                f"queue {queue.name}", "host and prefix are another queue's"
            )
        if queue.name in names:
            yield InvalidPlanError(f"queue {queue.name}", "the name is given twice")
        places.add(place)
        names.add(queue.name)
    owners: dict[str, str] = {}
    for customer in plan.customers:
        if customer.weight <= 0:
            yield InvalidPlanError(
                f"customer {customer.name}", "the share must be above 0"
            )
        for key in customer.keys:
            if owners.setdefault(key, customer.name) != customer.name:
                yield InvalidPlanError(
                    f"customer {customer.name}",
                    f"a key is that of {owners[key]} as well",
                )
