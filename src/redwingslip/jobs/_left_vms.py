"""VMs that have announced their end and were removed, for late reports of them."""

import msgspec

__all__ = ["LeftVms"]

# Far longer than a report may be under way.
LEFT_RETENTION_MS = 60_000


class LeftVm(msgspec.Struct, frozen=True, array_like=True):
    """The last incarnation of a VM that has left.

    Attributes
    ----------
    noted_ms : int
        Steady time at which it was removed, see `MachineOrders`.
    """

    born_ms: int
    noted_ms: int


class LeftVms(msgspec.Struct, kw_only=True):
    """The VMs that have left lately, by name.

    The end that an incarnation has announced is final, unless its later reports refute
    it; a later incarnation can have its name again. Time passes by commands only.
    """

    by_name: dict[str, LeftVm] = msgspec.field(default_factory=dict)

    def record(self, vm_id: str, born_ms: int, steady_ms: int) -> None:
        """Record that an incarnation has left; old entries are dropped.

        A `born_ms` of 0 tells no incarnations apart, and is not recorded.
        """
        self.by_name = {
            name: left
            for name, left in self.by_name.items()
            if steady_ms - left.noted_ms < LEFT_RETENTION_MS
        }
        known = self.by_name.get(vm_id)
        if born_ms and (known is None or known.born_ms <= born_ms):
            self.by_name[vm_id] = LeftVm(born_ms, steady_ms)

    def has_left(self, vm_id: str, born_ms: int, steady_ms: int) -> bool:
        """Return whether an incarnation, or a later one of its VM, has left lately."""
        left = self.by_name.get(vm_id)
        if left is None or steady_ms - left.noted_ms >= LEFT_RETENTION_MS:
            return False
        return born_ms <= left.born_ms
