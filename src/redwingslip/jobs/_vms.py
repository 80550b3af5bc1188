"""The VMs of the replicated state."""

from collections.abc import Iterable

import msgspec

from ._records import VmRecord

__all__ = ["Vms"]


class Vms:
    """The newest known incarnation of each VM.

    Attributes
    ----------
    by_name : dict of str to VmRecord
        The incarnations by the names of their VMs.
    """

    __slots__ = ("by_name",)

    def __init__(self, vms: Iterable[VmRecord]) -> None:
        self.by_name: dict[str, VmRecord] = {vm.vm_id: vm for vm in vms}

    def find(self, vm_id: str, born_ms: int) -> VmRecord | None:
        """Return an incarnation, or None if it is not the newest known one."""
        vm = self.by_name.get(vm_id)
        return vm if vm is not None and vm.born_ms == born_ms else None

    def machine_of(self, vm_id: str) -> str:
        """Return the machine of a VM, or the VM's name if the VM is unknown."""
        vm = self.by_name.get(vm_id)
        return vm.machine if vm is not None else vm_id

    def note(self, vm: VmRecord) -> VmRecord:
        """Record what an incarnation reports; its cursor of ends is kept."""
        known = self.find(vm.vm_id, vm.born_ms)
        if known is not None:
            vm = msgspec.structs.replace(vm, end_cursor=known.end_cursor)
        self.by_name[vm.vm_id] = vm
        return vm

    def advance_cursor(self, vm_id: str, born_ms: int, cursor: int) -> None:
        """Record up to which number the ends of an incarnation are recorded."""
        vm = self.find(vm_id, born_ms)
        if vm is not None and cursor > vm.end_cursor:
            self.by_name[vm_id] = msgspec.structs.replace(vm, end_cursor=cursor)

    def remove(self, vm_id: str, born_ms: int) -> VmRecord | None:
        """Remove an incarnation; return the one of its VM that is still known."""
        if self.find(vm_id, born_ms) is not None:
            del self.by_name[vm_id]
        return self.by_name.get(vm_id)
