"""What the platform's list of machines tells of VMs that do not answer."""

from collections.abc import Iterable, Iterator, Mapping

from ..jobs import JobsState, SilentVm
from ._ports import MachineState, MachineView

__all__ = ["find_ended"]


def find_ended(
    silent_vms: Iterable[SilentVm],
    views: Mapping[str, MachineView],
    state: JobsState,
) -> Iterator[tuple[SilentVm, str]]:
    """Yield the silent VMs that have ended, with what shows it.

    A machine that is listed as up with its VM proves nothing: the VM may still be dead.

    Parameters
    ----------
    silent_vms : iterable of SilentVm
        VMs that were silent before the list was requested.
    views : mapping of str to MachineView
        The list, by machine.
    state : JobsState
        The replicated state.
    """
    for silent in silent_vms:
        if not silent.machine:
            continue
        view = views.get(silent.machine)
        if view is None:
            # An entry may be missing since it can't be decoded; the leader must also
            # have removed the VM, as it did not answer for long.
            is_removed = silent.vm_id not in state.vms
            if views and is_removed:
                yield silent, "the platform no longer lists its machine"
        elif view.state is MachineState.DOWN:
            yield silent, "the platform lists its machine as down"
        elif view.state is MachineState.UP and view.vm_id not in ("", silent.vm_id):
            yield silent, f"the platform lists {view.vm_id} on its machine"
