"""Demand and capacity of pools, and the machines that they can give up."""

import msgspec

__all__ = ["Move", "PoolLoad", "SizingSettings", "spare", "unneeded"]


class SizingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Thresholds for growing and shrinking pools.

    Attributes
    ----------
    grow_above : float
        A pool grows when its demand exceeds this fraction of its capacity.
    aim : float
        Fraction of its capacity that the demand should take after a pool has grown.
    waiting_part : float
        Fraction of the waiting tasks' demand that counts for the number of machines
        to add.
    shrink_below : float
        A pool may give up a machine if its demand is at most this fraction of the
        capacity that remains.
    donate_below : float
        A pool gives an idle machine to a pool that lacks capacity if its demand is at
        most this fraction of the capacity that remains.
    reclaim_factor : float
        A pool gives up a machine that is in use, once its tasks have ended, to a pool
        whose demand in relation to its capacity is this many times as high.
    min_vms : int
        Number of VMs that a pool always keeps, so that some survive a failure.
    max_moves : int
        Number of moves that may be in progress at a time in a fleet of any size.
    max_moves_share : float
        Share of the machines that may be moved at a time in a large fleet.
    """

    grow_above: float = 0.85
    aim: float = 0.9
    waiting_part: float = 0.6
    shrink_below: float = 0.5
    donate_below: float = 0.75
    reclaim_factor: float = 1.5
    min_vms: int = 2
    max_moves: int = 12
    max_moves_share: float = 0.3


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Demand and capacity of a pool, in thousandths of a core.

    Attributes
    ----------
    is_standby : bool
        Whether the pool holds machines that are switched off and cost nothing.
    used, waiting : int
        CPU in use by running tasks, and CPU needed by the tasks that wait for capacity.
    expected : int
        Forecast of the demand at the time when a machine ordered now would serve.
    room : int
        Total CPU capacity of its VMs, including machines on their way to the pool.
    vm_room : int
        CPU capacity of one VM.
    n_vms : int
        Number of its VMs, including machines on their way to the pool.
    n_missing : int
        Number of further VMs needed for tasks that may not share a VM with others of
        their step, or that have to leave their present VM.
    idle : tuple of str
        Machines without running tasks, the longest idle first.
    resting : tuple of str
        The idle machines that have been idle long enough to be switched off.
    reclaimable : tuple of str
        Machines that run short tasks only, those with the fewest first.
    non_preemptible : int
        Part of `used` that tasks need which are not preempted.
    waiting_long_running : int
        Part of `waiting` that long-running tasks need.
    reserve : int
        CPU that the pool keeps beyond its demand, for a rise that is likely to come.
    imminent : int
        CPU that the pool needs beyond its demand for a rise that is about to begin.
        The reserve is part of it and not added to it.
    firm : int or None
        Part of the demand that goes before the reserves of other pools; None for all
        of it. The rest is backlog, which is worked off with machines that no reserve
        needs.
    is_initial : bool
        Whether the pool keeps its machines as there is no evidence of its demand yet;
        only the present demand of other pools takes idle ones away.
    """

    pool: str
    is_standby: bool = False
    used: int = 0
    waiting: int = 0
    expected: int = 0
    room: int = 0
    vm_room: int = 0
    n_vms: int = 0
    n_missing: int = 0
    idle: tuple[str, ...] = ()
    resting: tuple[str, ...] = ()
    reclaimable: tuple[str, ...] = ()
    non_preemptible: int = 0
    waiting_long_running: int = 0
    reserve: int = 0
    imminent: int = 0
    firm: int | None = None
    is_initial: bool = False

    def is_short(self, cfg: SizingSettings) -> bool:
        """Return whether the pool needs more machines."""
        return bool(self.n_missing) or self.demand > cfg.grow_above * self.room

    @property
    def demand(self) -> int:
        """Return the larger of the present and the forecast demand."""
        return max(self.used + self.waiting, self.expected)

    @property
    def firm_demand(self) -> int:
        """Return the part of the demand that goes before reserves of other pools."""
        return self.demand if self.firm is None else min(self.firm, self.demand)

    @property
    def kept(self) -> int:
        """Return the CPU that the pool keeps beyond its demand."""
        return max(self.reserve, self.imminent)


class Move(msgspec.Struct, frozen=True):
    """The move of a machine to another pool."""

    machine: str
    pool: str


def spare(
    load: PoolLoad, machines: tuple[str, ...], max_load: float, cfg: SizingSettings
) -> tuple[str, ...]:
    """Return those of the given machines that a pool can give up.

    Its demand then is at most the fraction `max_load` of the capacity that remains.
    """
    n_spare = 0
    if load.n_missing:
        return ()
    while n_spare < len(machines):
        n_kept = load.n_vms - n_spare - 1
        remaining = load.room - (n_spare + 1) * load.vm_room
        if n_kept < cfg.min_vms or load.demand > max_load * remaining:
            break
        n_spare += 1
    return machines[:n_spare]


def unneeded(
    load: PoolLoad, machines: tuple[str, ...], max_load: float, cfg: SizingSettings
) -> tuple[str, ...]:
    """Return those of the given machines that a pool needs neither now nor in reserve.

    See `spare`. A pool whose machines have not been judged yet needs all of them.
    """
    if load.is_initial:
        return ()
    candidates = spare(load, machines, max_load, cfg)
    if not load.kept or not load.vm_room:
        return candidates
    n_beyond = (load.room - load.demand - load.kept) // load.vm_room
    return candidates[: max(0, n_beyond)]
