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
    min_vms : int
        Number of VMs that a pool always keeps, so that some survive a failure.
    max_moves : int
        Maximum number of moves in progress at a time.
    """

    grow_above: float = 0.85
    aim: float = 0.9
    waiting_part: float = 0.6
    shrink_below: float = 0.5
    min_vms: int = 2
    max_moves: int = 12


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
    n_allowed = max(0, cfg.max_moves - n_in_progress)
    moves = _grow(serving, standby, cfg)[:n_allowed]
    if standby:
        moved = {move.machine for move in moves}
        standby_pool = standby[0].pool
        moves += [
            Move(machine, standby_pool)
            for load in serving
            for machine in _spare(load, load.resting, cfg)
            if machine not in moved
        ]
    return tuple(moves[:n_allowed])


def _grow(
    serving: list[PoolLoad], standby: list[PoolLoad], cfg: SizingSettings
) -> list[Move]:
    """Return the moves to pools that lack capacity, the worst shortage first."""
    donated = deque(machine for load in standby for machine in load.idle)
    donated.extend(m for load in serving for m in _spare(load, load.idle, cfg))
    moves = []
    for load in sorted(serving, key=_shortage, reverse=True):
        for _ in range(_n_to_add(load, cfg)):
            # A pool that lacks capacity has no spare machines, so each donated
            # machine comes from another pool.
            if donated:
                moves.append(Move(donated.popleft(), load.pool))
    return moves


def _shortage(load: PoolLoad) -> float:
    return load.n_missing + load.demand / max(1, load.room)


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
    load: PoolLoad, machines: tuple[str, ...], cfg: SizingSettings
) -> tuple[str, ...]:
    """Return those of the given machines that a pool can give up."""
    n_spare = 0
    if load.n_missing:
        return ()
    while n_spare < len(machines):
        n_kept = load.n_vms - n_spare - 1
        remaining = load.room - (n_spare + 1) * load.vm_room
        if n_kept < cfg.min_vms or load.demand > cfg.shrink_below * remaining:
            break
        n_spare += 1
    return machines[:n_spare]
