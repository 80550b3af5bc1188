"""Which delegate calls which VM."""

import hashlib
from collections.abc import Iterable
from datetime import timedelta

__all__ = ["Routes"]

# VMs whose callers are remembered; with more, all are looked up anew.
MAX_KNOWN_VMS = 20_000


class Routes:
    """Spreads the VMs over the delegates, or gives them to the leader.

    Each VM stays with its delegate while that one stays, as each change costs new
    connections. A VM that its caller did not reach is called by the next process for a
    time; the leader is the last one, or the first one in a small fleet.

    Parameters
    ----------
    own_id : str
        Id of the leader.
    """

    __slots__ = ("_avoided", "_delegates", "_is_leader_first", "_own_id", "_ranked")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._delegates: tuple[str, ...] = ()
        self._is_leader_first = False
        self._ranked: dict[str, tuple[str, ...]] = {}
        # Callers of a VM that are avoided, with the time until which they are.
        self._avoided: dict[str, dict[str, timedelta]] = {}

    def update(self, delegates: Iterable[str], *, is_leader_first: bool) -> None:
        """Set the ids of the delegates that take orders, and the leader's place."""
        delegates = tuple(sorted(delegates))
        if (delegates, is_leader_first) != (self._delegates, self._is_leader_first):
            self._delegates = delegates
            self._is_leader_first = is_leader_first
            self._ranked.clear()

    def caller_of(self, vm_id: str, now: timedelta) -> str:
        """Return the id of the process that calls a VM at a monotonic time."""
        ranked = self._ranked.get(vm_id)
        if ranked is None:
            if len(self._ranked) >= MAX_KNOWN_VMS:
                self._ranked.clear()
                self._avoided.clear()
            ranked = self._rank(vm_id)
            self._ranked[vm_id] = ranked
        avoided = self._avoided.get(vm_id)
        if avoided is None:
            return ranked[0]
        for caller in ranked:
            if avoided.get(caller, now) <= now:
                return caller
        return min(ranked, key=avoided.__getitem__)

    def avoid(self, vm_id: str, caller: str, until: timedelta) -> None:
        """Have other processes call a VM that `caller` did not reach."""
        self._avoided.setdefault(vm_id, {})[caller] = until

    def _rank(self, vm_id: str) -> tuple[str, ...]:
        # By rendezvous hashing, only the VMs of a delegate that leaves change theirs.
        def weight(delegate: str) -> bytes:
            return hashlib.blake2b(f"{delegate} {vm_id}".encode()).digest()

        ranked = sorted(self._delegates, key=weight)
        if self._is_leader_first:
            return (self._own_id, *ranked)
        return (*ranked, self._own_id)
