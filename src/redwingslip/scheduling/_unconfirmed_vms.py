"""The VMs that have not answered the leader yet."""

from datetime import timedelta

from ..jobs import VmRecord

__all__ = ["UnconfirmedVms"]

# Above this number, polls that get no answer are repeated less often, so that their
# rate does not grow with the number of VMs.
N_AT_FULL_RATE = 100


class UnconfirmedVms:
    """The incarnations that have not answered any poll of this leader.

    What is known of them is what somebody has reported.

    Attributes
    ----------
    n_bytes : int
        Total size of the texts in their records.
    """

    __slots__ = ("_sizes", "n_bytes")

    def __init__(self) -> None:
        self._sizes: dict[tuple[str, int], int] = {}
        self.n_bytes = 0

    def __len__(self) -> int:
        return len(self._sizes)

    def __contains__(self, vm: VmRecord) -> bool:
        return _key(vm) in self._sizes

    def add(self, vm: VmRecord) -> None:
        """Add an incarnation, or replace its record."""
        self.discard(vm)
        n_bytes = _record_bytes(vm)
        self._sizes[_key(vm)] = n_bytes
        self.n_bytes += n_bytes

    def discard(self, vm: VmRecord) -> None:
        """Remove an incarnation that has answered or is not known any more."""
        self.n_bytes -= self._sizes.pop(_key(vm), 0)

    def has_room(self, vm: VmRecord, *, max_vms: int, max_bytes: int) -> bool:
        """Return whether the limits allow to add a VM or to replace its record.

        A single VM always has room.
        """
        known = self._sizes.get(_key(vm))
        growth = _record_bytes(vm) - (known or 0)
        if known is not None:
            return growth <= 0 or self.n_bytes + growth <= max_bytes
        is_first = not self._sizes
        return is_first or (
            len(self._sizes) < max_vms and self.n_bytes + growth <= max_bytes
        )

    def max_retry_delay(self, usual: timedelta) -> timedelta:
        """Return the longest wait between two polls of one of them.

        Parameters
        ----------
        usual : timedelta
            The longest wait while there are few of them.
        """
        return usual * max(1.0, len(self._sizes) / N_AT_FULL_RATE)


def _key(vm: VmRecord) -> tuple[str, int]:
    return vm.vm_id, vm.born_ms


def _record_bytes(vm: VmRecord) -> int:
    texts = (vm.vm_id, vm.machine, vm.pool, vm.address, vm.data_centre, *vm.labels)
    return sum(map(len, texts))
