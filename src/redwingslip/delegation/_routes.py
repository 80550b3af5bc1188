"""Which delegate calls which VM."""

import hashlib
from collections.abc import Iterable

__all__ = ["Routes"]

# VMs whose caller is remembered; with more, all are looked up anew.
MAX_KNOWN_VMS = 20_000


class Routes:
    """Spreads the VMs over the delegates, and over the leader if there are none.

    Each VM stays with its delegate while the set of delegates does not change, as each
    change costs new connections. A VM that a delegate did not reach is called by the
    next one, and by the leader after the last.

    Parameters
    ----------
    own_id : str
        Id of the leader.
    """

    __slots__ = ("_delegates", "_n_detours", "_own_id", "_ranked")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._delegates: tuple[str, ...] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._n_detours: dict[str, int] = {}

    def update(self, delegates: Iterable[str]) -> None:
        """Set the ids of the delegates that hold a lease."""
        delegates = tuple(sorted(delegates))
        if delegates != self._delegates:
            self._delegates = delegates
            self._ranked.clear()

    def caller_of(self, vm_id: str) -> str:
        """Return the id of the process that calls a VM."""
        ranked = self._ranked.get(vm_id)
        if ranked is None:
            if len(self._ranked) >= MAX_KNOWN_VMS:
                self._ranked.clear()
                self._n_detours.clear()
            ranked = self._rank(vm_id)
            self._ranked[vm_id] = ranked
        return ranked[self._n_detours.get(vm_id, 0) % len(ranked)]

    def note_failure(self, vm_id: str, caller: str) -> None:
        """Have the next process call a VM that `caller` did not reach."""
        if self.caller_of(vm_id) == caller:
            self._n_detours[vm_id] = self._n_detours.get(vm_id, 0) + 1

    def _rank(self, vm_id: str) -> tuple[str, ...]:
        # By rendezvous hashing, only the VMs of a delegate that leaves change theirs.
        def weight(delegate: str) -> bytes:
            return hashlib.blake2b(f"{delegate} {vm_id}".encode()).digest()

        return (*sorted(self._delegates, key=weight), self._own_id)
