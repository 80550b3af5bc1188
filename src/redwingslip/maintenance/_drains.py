"""Which VMs their dispatchers have found drained."""

from collections.abc import Callable

from ..fleet import FleetView, VmRecord
from ..peers._messages import VmDrained

__all__ = ["Drains"]


class Drains:
    """The latest word of the dispatchers on VMs that are drained.

    It is not part of the replicated state: a dispatcher repeats its word, so a new
    leader hears it again.
    """

    __slots__ = ("_words",)

    def __init__(self) -> None:
        self._words: dict[str, VmDrained] = {}

    def note(self, msg: VmDrained) -> None:
        """Keep a dispatcher's word."""
        self._words[msg.vm] = msg

    def is_drained(self, view: FleetView, record: VmRecord) -> bool:
        """Return whether the present dispatcher holds no permit on a draining VM."""
        word = self._words.get(record.name)
        lease = view.dispatchers.get(record.pool)
        if word is None or lease is None:
            return False
        if word.drain_index != record.drain_index:
            return False
        return (word.pool, word.epoch) == (record.pool, lease.epoch)

    def keep(self, is_draining: Callable[[str], bool]) -> None:
        """Forget the words on VMs that are not in a drain any more."""
        self._words = {vm: msg for vm, msg in self._words.items() if is_draining(vm)}
