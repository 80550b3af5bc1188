"""Divides the free capacity among the reserves of pools, and plans their moves."""

from collections import Counter, deque

from msgspec.structs import replace

from ._pool_load import Move, PoolLoad, SizingSettings, unneeded

__all__ = ["fill_reserves", "shrink_reserves"]


def shrink_reserves(
    serving: list[PoolLoad], standby: list[PoolLoad], cfg: SizingSettings
) -> list[PoolLoad]:
    """Return the loads with reserves that fit into the fleet beside the demand.

    What pools need for a rise that is about to begin goes before standing reserves;
    each of the two kinds shrinks in proportion.
    """
    if not any(load.kept for load in serving):
        return serving
    vm_room = max(load.vm_room for load in serving)
    free = vm_room * sum(len(load.idle) for load in standby)
    free += sum(
        load.room - load.firm_demand / cfg.aim
        for load in serving
        if not load.is_initial
    )
    imminent = sum(load.imminent for load in serving)
    standing = sum(load.kept - load.imminent for load in serving)
    imminent_part = min(1.0, max(0.0, free) / max(1, imminent))
    standing_part = min(1.0, max(0.0, free - imminent) / max(1, standing))
    shrunk = []
    for load in serving:
        kept_imminent = imminent_part * load.imminent
        kept_standing = standing_part * (load.kept - load.imminent)
        shrunk.append(
            replace(
                load,
                imminent=int(kept_imminent),
                reserve=int(kept_imminent + kept_standing),
            )
        )
    return shrunk


def fill_reserves(
    serving: list[PoolLoad],
    standby: list[PoolLoad],
    moves: list[Move],
    cfg: SizingSettings,
    *,
    only_imminent: bool = False,
) -> list[Move]:
    """Return the moves to pools whose reserve is not full, the largest lack first.

    They get machines that are switched off, then those that another pool would switch
    off. Before a rise that is about to begin, any idle machine that its pool does not
    need may move.

    Parameters
    ----------
    serving, standby : list of PoolLoad
        The loads of the pools.
    moves : list of Move
        Moves that were planned before.
    cfg : SizingSettings
        The settings.
    only_imminent : bool
        Whether only pools with a rise that is about to begin get machines.
    """
    moved = {move.machine for move in moves}
    n_moved_to = Counter(move.pool for move in moves)
    lacking = {}
    for load in serving:
        n_lacking = _n_lacking(load, n_moved_to[load.pool])
        if n_lacking > 0 and (load.imminent or not only_imminent):
            lacking[load.pool] = n_lacking
    if not lacking:
        return []
    donated = [machine for load in standby for machine in load.idle]
    for load in serving:
        donated += unneeded(load, load.resting, cfg.shrink_below, cfg)
    if only_imminent:
        for load in serving:
            donated += unneeded(load, load.idle, cfg.donate_below, cfg)
    donors = deque(dict.fromkeys(m for m in donated if m not in moved))
    fills: list[Move] = []
    while lacking and donors:
        pool = max(lacking, key=lacking.get)
        fills.append(Move(donors.popleft(), pool))
        lacking[pool] -= 1
        if not lacking[pool]:
            del lacking[pool]
    return fills


def _n_lacking(load: PoolLoad, n_added: int) -> int:
    """Return how many whole machines a pool's reserve lacks.

    A part of a machine counts as full: with `unneeded`, which counts whole machines
    too, this keeps machines from moving to and fro.
    """
    if not load.vm_room:
        return 0
    lack = load.demand + load.kept - load.room - n_added * load.vm_room
    return int(min(lack, load.kept) // load.vm_room)
