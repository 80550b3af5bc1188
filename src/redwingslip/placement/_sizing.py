"""Computes how many machines each pool needs and plans the moves between pools."""

import math
from collections import deque

import msgspec

__all__ = ["Move", "PoolLoad", "SizingSettings", "plan_moves"]


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

    def is_short(self, cfg: SizingSettings) -> bool:
        """Return whether the pool needs more machines."""
        return bool(self.n_missing) or self.demand > cfg.grow_above * self.room

    @property
    def demand(self) -> int:
        """Return the larger of the present and the forecast demand."""
        return max(self.used + self.waiting, self.expected)


class Move(msgspec.Struct, frozen=True):
    """The move of a machine to another pool."""

    machine: str
    pool: str


def plan_moves(
    loads: tuple[PoolLoad, ...], n_in_progress: int, cfg: SizingSettings
) -> tuple[Move, ...]:
    """Return the moves to order.

    A pool that lacks capacity gets machines that are switched off first, then idle
    machines of other pools. Idle machines that no pool needs are switched off.

    Parameters
    ----------
    loads : tuple of PoolLoad
        The load of each pool.
    n_in_progress : int
        Number of moves in progress.
    cfg : SizingSettings
        The settings.
    """
    serving = [load for load in loads if not load.is_standby]
    standby = [load for load in loads if load.is_standby]
    n_machines = sum(len(load.idle) for load in standby)
    n_machines += sum(load.n_vms for load in serving)
    max_moves = max(cfg.max_moves, int(cfg.max_moves_share * n_machines))
    n_allowed = max(0, max_moves - n_in_progress)
    moves = _grow(serving, standby, cfg)[:n_allowed]
    if standby:
        moved = {move.machine for move in moves}
        standby_pool = standby[0].pool
        moves += [
            Move(machine, standby_pool)
            for load in serving
            for machine in _spare(load, load.resting, cfg.shrink_below, cfg)
            if machine not in moved
        ]
    return tuple(moves[:n_allowed])


def _grow(
    serving: list[PoolLoad], standby: list[PoolLoad], cfg: SizingSettings
) -> list[Move]:
    """Return the moves to pools that lack capacity, the worst shortage first."""
    donated = deque(machine for load in standby for machine in load.idle)
    n_kept = {}
    for load in serving:
        spare = _spare(load, load.idle, cfg.donate_below, cfg)
        donated.extend(spare)
        n_kept[load.pool] = load.n_vms - len(spare)
    n_to_add = {load.pool: _n_to_add(load, cfg) for load in serving}
    n_added = dict.fromkeys(n_to_add, 0)
    # One machine at a time: while there are too few, pools that lack capacity at the
    # same time become equally short.
    short = [load for load in serving if n_to_add[load.pool]]
    moves = []
    while short:
        worst = max(short, key=lambda load: _shortage(load, n_added[load.pool]))
        if donated:
            # A pool that lacks capacity has no spare machines, so each donated machine
            # comes from another pool.
            machine = donated.popleft()
        else:
            machine = _reclaim(worst, serving, n_added, n_kept, cfg)
        if machine is None:
            break
        moves.append(Move(machine, worst.pool))
        n_added[worst.pool] += 1
        if n_added[worst.pool] == n_to_add[worst.pool]:
            short.remove(worst)
    return moves


def _reclaim(
    worst: PoolLoad,
    serving: list[PoolLoad],
    n_added: dict[str, int],
    n_kept: dict[str, int],
    cfg: SizingSettings,
) -> str | None:
    """Return a machine in use that another pool gives up, and count it as given up.

    Parameters
    ----------
    worst : PoolLoad
        The pool that lacks most capacity.
    serving : list of PoolLoad
        All pools that serve.
    n_added : dict of str to int
        Machines that each pool has got; negative if it has given up machines in use.
    n_kept : dict of str to int
        Machines that each pool has without its idle ones that are given up.
    cfg : SizingSettings
        The settings.
    """
    max_shortage = _shortage(worst, n_added[worst.pool]) / cfg.reclaim_factor
    donors = []
    for load in serving:
        n_given = max(0, -n_added[load.pool])
        if (
            load is worst
            or load.n_missing
            or n_added[load.pool] > 0
            or n_given == len(load.reclaimable)
            or n_kept[load.pool] - n_given - 1 < cfg.min_vms
        ):
            continue
        shortage = _shortage(load, n_added[load.pool] - 1)
        if shortage <= max_shortage:
            donors.append((shortage, load.pool, load))
    if not donors:
        return None
    donor = min(donors, key=lambda entry: entry[:2])[2]
    n_added[donor.pool] -= 1
    return donor.reclaimable[-n_added[donor.pool] - 1]


def _shortage(load: PoolLoad, n_added: int) -> float:
    """Return how short a pool is once it has got or given up some machines."""
    room = load.room + n_added * load.vm_room
    n_missing = max(0, load.n_missing - max(0, n_added))
    return n_missing + load.demand / max(1, room)


def _n_to_add(load: PoolLoad, cfg: SizingSettings) -> int:
    """Return how many machines to add to a pool."""
    if not load.vm_room or load.demand <= cfg.grow_above * load.room:
        return load.n_missing
    # Some of the waiting tasks find free capacity before a machine that is ordered now
    # serves.
    demand = max(load.used + cfg.waiting_part * load.waiting, load.expected)
    missing = demand / cfg.aim - load.room
    return max(load.n_missing, math.ceil(missing / load.vm_room))


def _spare(
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
