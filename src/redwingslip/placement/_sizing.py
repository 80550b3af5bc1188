"""Computes how many machines each pool needs and plans the moves between pools."""

import math
from collections import deque
from itertools import chain, zip_longest

from ._pool_load import Move, PoolLoad, SizingSettings, spare, unneeded
from ._reserve_moves import fill_reserves, shrink_reserves

__all__ = ["plan_moves"]


def plan_moves(
    loads: tuple[PoolLoad, ...], n_in_progress: int, cfg: SizingSettings
) -> tuple[Move, ...]:
    """Return the moves to order.

    A pool that lacks capacity gets machines that are switched off first, then idle
    machines of other pools. Idle machines that no pool needs are switched off.
    Reserves are filled with what the demand of all pools leaves; if that is too little,
    they shrink in proportion.

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
    serving = shrink_reserves(serving, standby, cfg)
    moves = _grow(serving, standby, cfg)[:n_allowed]
    moves += fill_reserves(serving, standby, moves, cfg, only_imminent=True)
    moves = moves[:n_allowed]
    if any(load.kept for load in serving):
        # Half of the moves remain for demand that comes meanwhile.
        n_allowed = max(len(moves), max_moves // 2 - n_in_progress)
        moves += fill_reserves(serving, standby, moves, cfg)
    if standby:
        moved = {move.machine for move in moves}
        standby_pool = standby[0].pool
        moves += [
            Move(machine, standby_pool)
            for load in serving
            for machine in unneeded(load, load.resting, cfg.shrink_below, cfg)
            if machine not in moved
        ]
    return tuple(moves[:n_allowed])


def _grow(
    serving: list[PoolLoad], standby: list[PoolLoad], cfg: SizingSettings
) -> list[Move]:
    """Return the moves to pools that lack capacity, the worst shortage first."""
    donated = deque(machine for load in standby for machine in load.idle)
    n_kept = {}
    reserved = []
    for load in serving:
        donors = spare(load, load.idle, cfg.donate_below, cfg)
        n_unneeded = len(unneeded(load, load.idle, cfg.donate_below, cfg))
        donated.extend(donors[:n_unneeded])
        reserved.append(donors[n_unneeded:])
        n_kept[load.pool] = load.n_vms - len(donors)
    # Reserves give one machine each in turn.
    turns = chain.from_iterable(zip_longest(*reserved))
    last_donated = deque(machine for machine in turns if machine is not None)
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
        elif last_donated and _is_firm(worst, n_added[worst.pool], cfg):
            machine = last_donated.popleft()
        elif last_donated:
            # Another pool may lack capacity for its firm demand.
            short.remove(worst)
            continue
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


def _is_firm(load: PoolLoad, n_added: int, cfg: SizingSettings) -> bool:
    """Return whether a pool lacks capacity for demand that goes before reserves."""
    room = load.room + n_added * load.vm_room
    return n_added < load.n_missing or load.firm_demand > cfg.aim * room


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
