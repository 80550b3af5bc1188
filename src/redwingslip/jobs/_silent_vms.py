"""Index of the VMs that fell silent, with the tasks that are suspected for it."""

from collections.abc import Iterator

from ._records import SilentVm, VmRecord
from ._spec import TaskKey

__all__ = ["SilentVms"]


class SilentVms:
    """Index of the `silent_vms` of all tasks, by incarnation."""

    __slots__ = ("_tasks", "_vms")

    def __init__(self) -> None:
        self._vms: dict[tuple[str, int], SilentVm] = {}
        self._tasks: dict[SilentVm, dict[TaskKey, None]] = {}

    def __iter__(self) -> Iterator[SilentVm]:
        """Iterate over the silent incarnations."""
        return iter(self._tasks)

    def __len__(self) -> int:
        """Return the number of silent incarnations."""
        return len(self._vms)

    def add(self, vm: SilentVm, key: TaskKey) -> None:
        """Add a task that is suspected for the silence of a VM."""
        self._vms[vm.vm_id, vm.born_ms] = vm
        self._tasks.setdefault(vm, {})[key] = None

    def discard(self, vm: SilentVm, key: TaskKey) -> None:
        """Remove a task, and its VM with the last one."""
        tasks = self._tasks.get(vm, {})
        tasks.pop(key, None)
        if not tasks:
            self._tasks.pop(vm, None)
            self._vms.pop((vm.vm_id, vm.born_ms), None)

    def find(self, vm_id: str, born_ms: int) -> SilentVm | None:
        """Return an incarnation if tasks are suspected for its silence, else None."""
        return self._vms.get((vm_id, born_ms))

    def find_replaced(self, vm: VmRecord) -> list[SilentVm]:
        """Return the incarnations whose place a later one has taken."""
        return [
            silent
            for silent in self._tasks
            if silent.born_ms < vm.born_ms and _share_place(silent, vm)
        ]

    def tasks_of(self, vm: SilentVm) -> tuple[TaskKey, ...]:
        """Return the tasks that are suspected for the silence of a VM."""
        return tuple(self._tasks.get(vm, ()))


def _share_place(silent: SilentVm, vm: VmRecord) -> bool:
    return (
        silent.vm_id == vm.vm_id
        or (bool(vm.address) and silent.address == vm.address)
        or (bool(vm.machine) and silent.machine == vm.machine)
    )
