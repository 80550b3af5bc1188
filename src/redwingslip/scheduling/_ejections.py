"""Which VMs are ejected from their pool because runs fail on them."""

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from ._agent import VmAgent

__all__ = ["ejected_vms"]


def ejected_vms(
    agents: Mapping[str, VmAgent], now: timedelta, *, max_share: float
) -> frozenset[str]:
    """Return the VMs that get no new runs since their runs fail.

    At least one VM of a pool may be ejected, and never all of them.

    Parameters
    ----------
    agents : mapping of str to VmAgent
        The leader's agents by VM.
    now : timedelta
        Monotonic time.
    max_share : float
        If more than this share of a pool's VMs is to be ejected, none of them is.
    """
    ejected: dict[str, list[str]] = {}
    for vm_id, agent in agents.items():
        if agent.health.is_ejected(now) and agent.is_ready(now):
            ejected.setdefault(agent.vm.pool, []).append(vm_id)
    if not ejected:
        return frozenset()
    n_ready = Counter(
        agent.vm.pool
        for agent in agents.values()
        if agent.vm.pool in ejected and agent.is_ready(now)
    )
    return frozenset(
        vm_id
        for pool, vm_ids in ejected.items()
        if len(vm_ids) <= max(1, int(max_share * n_ready[pool]))
        and len(vm_ids) < n_ready[pool]
        for vm_id in vm_ids
    )
