"""How many machines each pool needs, and which moves bring them there."""

import math
from collections import deque

import msgspec

__all__ = ["Move", "PoolLoad", "SizingSettings", "plan_moves"]


class SizingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When pools grow and shrink.

    Attributes
    ----------
    grow_above : float
        A pool grows when more than this part of its room is asked for.
    aim : float
        Part of the room that should be asked for after it has grown.
    waiting_part : float
        Part of the waiting tasks' needs that counts for the growth.
    shrink_below : float
        A pool may give a machine away if less than this part of what it keeps is
        asked for.
    min_vms : int
        VMs that a pool keeps in any case, so that one failure leaves some.
    max_moves : int
        Moves that may be under way at a time.
    """

    grow_above: float = 0.85
    aim: float = 0.9
    waiting_part: float = 0.6
    shrink_below: float = 0.5
    min_vms: int = 2
    max_moves: int = 12


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What is asked of a pool and what it has, in thousandths of a core.

    Attributes
    ----------
    is_standby : bool
        Whether its machines are off; they cost nothing there.
    used, waiting : int
        What its tasks use, and what those need that wait for room.
    expected : int
        What will be asked for by the time at which a machine that is moved now serves.
    room : int
        What its VMs have, those on their way included.
    vm_room : int
        What one VM has.
    n_vms : int
        Its VMs, those on their way included.
    n_missing : int
        VMs that are wanted for tasks which may not share one with their like.
    idle : tuple of str
        Machines that nothing runs on, the longest idle ones first.
    resting : tuple of str
        Those of them that have been idle for long enough to be switched off.
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
        """Return whether it should get machines."""
        return bool(self.n_missing) or self.asked > cfg.grow_above * self.room

    @property
    def asked(self) -> int:
        """Return what is asked for, now or soon."""
        return max(self.used + self.waiting, self.expected)


class Move(msgspec.Struct, frozen=True):
    """A machine and the pool that it is to belong to."""

    machine: str
    pool: str


def plan_moves(
    loads: tuple[PoolLoad, ...], n_under_way: int, cfg: SizingSettings
) -> tuple[Move, ...]:
    """Return the moves to begin now.

    Pools that are asked for more than they hold get machines that are switched off,
    then idle ones of other pools; what nobody asks for is switched off.
    """
    serving = [load for load in loads if not load.is_standby]
    standby = [load for load in loads if load.is_standby]
    n_left = max(0, cfg.max_moves - n_under_way)
    moves = _grow(serving, standby, cfg)[:n_left]
    if standby:
        taken = {move.machine for move in moves}
        home = standby[0].pool
        moves += [
            Move(machine, home)
            for load in serving
            for machine in _spare(load, load.resting, cfg)
            if machine not in taken
        ]
    return tuple(moves[:n_left])


def _grow(
    serving: list[PoolLoad], standby: list[PoolLoad], cfg: SizingSettings
) -> list[Move]:
    """Return the moves to pools that are short of room, the shortest first."""
    givers = deque(machine for load in standby for machine in load.idle)
    givers.extend(m for load in serving for m in _spare(load, load.idle, cfg))
    moves = []
    for load in sorted(serving, key=_shortage, reverse=True):
        for _ in range(_n_wanted(load, cfg)):
            # A pool that is short of room gives nothing, so all givers are others'.
            if givers:
                moves.append(Move(givers.popleft(), load.pool))
    return moves


def _shortage(load: PoolLoad) -> float:
    return load.n_missing + load.asked / max(1, load.room)


def _n_wanted(load: PoolLoad, cfg: SizingSettings) -> int:
    """Return how many machines a pool should get."""
    if not load.vm_room or load.asked <= cfg.grow_above * load.room:
        return load.n_missing
    # A part of what waits finds room before a machine that is moved now serves.
    asked = max(load.used + cfg.waiting_part * load.waiting, load.expected)
    missing = asked / cfg.aim - load.room
    return max(load.n_missing, math.ceil(missing / load.vm_room))


def _spare(
    load: PoolLoad, machines: tuple[str, ...], cfg: SizingSettings
) -> tuple[str, ...]:
    """Return which of some machines a pool can do without."""
    n_spare = 0
    if load.n_missing:
        return ()
    while n_spare < len(machines):
        n_kept = load.n_vms - n_spare - 1
        room = load.room - (n_spare + 1) * load.vm_room
        if n_kept < cfg.min_vms or load.asked > cfg.shrink_below * room:
            break
        n_spare += 1
    return machines[:n_spare]
