"""The plan: a version of all queues, pools and customers, replaced as a whole."""

from collections.abc import Iterator

import msgspec

from .exceptions import InvalidPlanError

__all__ = [
    "NO_AMOUNTS",
    "Amounts",
    "Customer",
    "Plan",
    "Pool",
    "Queue",
    "check_plan",
    "find_plan_errors",
]


class Amounts(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of resources, as used by a task or provided by a VM.

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

    def fits(self, capacity: "Amounts") -> bool:
        """Return whether `capacity` is at least as large in every resource."""
        return (
            self.cpu <= capacity.cpu
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def __add__(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return Amounts(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def times(self, count: int) -> "Amounts":
        """Return these amounts multiplied by `count`."""
        return Amounts(
            self.cpu * count, self.memory_mb * count, self.accelerators * count
        )

    def n_fitting(self, need: "Amounts") -> int:
        """Return how many times `need` fits into these amounts."""
        pairs = ((self.cpu, need.cpu), (self.memory_mb, need.memory_mb))
        pairs += ((self.accelerators, need.accelerators),)
        return max(0, min((have // n for have, n in pairs if n > 0), default=0))

    def __sub__(self, other: "Amounts") -> "Amounts":
        """Return the difference, which may be negative."""
        return Amounts(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_AMOUNTS = Amounts()


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue to which jobs are submitted.

    Attributes
    ----------
    name : str
        Name of the queue.
    host, path_prefix : str
        Host and path prefix by which callers address the queue; the longest matching
        prefix wins.
    pool : str
        Pool whose VMs run the tasks.
    is_public : bool
        Whether jobs are accepted without a key.
    priority : int
        Priority of the jobs; 0 goes first.
    max_attempts : int
        Number of failed runs of one task after which its job fails.
    stretch : float
        The time from a job's acceptance to its deadline is this multiple of the
        estimated duration of its critical path, plus `target_latency_ms`.
    target_latency_ms : int
        Constant part of that time, in milliseconds.
    needs_advice : bool
        Whether an adviser decides which VMs may run a step.
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
        Whether its VMs stay switched off until they are moved to another pool.
    """

    name: str
    is_standby: bool = False


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer with its keys, weight and limit.

    Attributes
    ----------
    keys : tuple of str
        Keys that authenticate the customer.
    weight : float
        Relative share of the customer when the capacity is exhausted, as operators
        declare it. It has an effect with `AdmissionSettings` only.
    limit : Amounts
        Maximum resources of its running tasks; an amount of 0 means no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Amounts = NO_AMOUNTS


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that operators declare, under one version number.

    Attributes
    ----------
    version : int
        Version number; the plan with the highest version is in force.
    document : bytes
        The plan as it was submitted, returned to operators who read it back.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    document: bytes = b""


def check_plan(plan: Plan) -> None:
    """Raise `InvalidPlanError` for the first inconsistency of a plan."""
    for error in find_plan_errors(plan):
        raise error


def find_plan_errors(plan: Plan) -> Iterator[InvalidPlanError]:
    """Yield every inconsistency of a plan."""
    pools = {pool.name for pool in plan.pools}
    prefixes = set()
    names = set()
    for queue in plan.queues:
        if queue.pool not in pools:
            yield InvalidPlanError(
                f"queue {queue.name}", f"unknown pool {queue.pool!r}"
            )
        prefix = (queue.host, queue.path_prefix)
        if prefix in prefixes:
            yield InvalidPlanError(
                f"queue {queue.name}", "another queue has the same host and path prefix"
            )
        if queue.name in names:
            yield InvalidPlanError(
                f"queue {queue.name}", "another queue has the same name"
            )
        prefixes.add(prefix)
        names.add(queue.name)
    key_owners: dict[str, str] = {}
    for customer in plan.customers:
        if customer.weight <= 0:
            yield InvalidPlanError(
                f"customer {customer.name}", "the weight must be greater than 0"
            )
        for key in customer.keys:
            if key_owners.setdefault(key, customer.name) != customer.name:
                yield InvalidPlanError(
                    f"customer {customer.name}",
                    f"a key belongs to customer {key_owners[key]} as well",
                )
