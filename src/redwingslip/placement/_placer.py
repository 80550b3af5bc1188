"""Choosing VMs for tasks that wait, in the order of their urgency."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

from ..jobs import NO_AMOUNTS, Amounts, RunStart
from ._view import CandidateVm, WaitingTask, is_allowed

__all__ = ["Placer"]

# Long-running tasks of a step are spread over so many racks, and so VMs, where there is
# room: losing one leaves the others at work, and more VMs would have to stay on.
MIN_RACKS_OF_STEP = 2


class Placer:
    """One round of placement over the room that is left.

    Parameters
    ----------
    pools : mapping of str to list of VmRoom
        The VMs of each pool that take new runs; their room is used up.
    usage : mapping of str to Amounts
        What each customer has running.
    limits : mapping of str to Amounts
        Upper limits of customers; 0 of anything is no limit.
    """

    __slots__ = ("_limits", "_pools", "_usage")

    def __init__(
        self,
        *,
        pools: Mapping[str, list[CandidateVm]],
        usage: Mapping[str, Amounts],
        limits: Mapping[str, Amounts],
    ) -> None:
        self._pools = pools
        self._usage = dict(usage)
        self._limits = limits

    def place_step(self, tasks: Sequence[WaitingTask]) -> tuple[RunStart, ...]:
        """Return places for the first of a step's tasks, as far as there are any.

        A gang gets places for all of its tasks or none at all.
        """
        taken: list[tuple[RunStart, WaitingTask, CandidateVm]] = []
        for task in tasks:
            vm = None
            if self.is_within_limit(task.customer, task.step.need):
                vm = self._choose(task)
            if vm is None:
                break
            taken.append((self._take(task, vm), task, vm))
        if len(taken) < len(tasks) and tasks[0].step.is_gang:
            for _, task, vm in taken:
                self._give_back(task, vm)
            return ()
        return tuple(start for start, _, _ in taken)

    def is_within_limit(self, customer: str, need: Amounts) -> bool:
        """Return whether a customer may have that much more running."""
        limit = self._limits.get(customer)
        if limit is None:
            return True
        total = self._usage.get(customer, NO_AMOUNTS) + need
        return (
            (not limit.cpu or total.cpu <= limit.cpu)
            and (not limit.memory_mb or total.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or total.accelerators <= limit.accelerators)
        )

    def _choose(self, task: WaitingTask) -> CandidateVm | None:
        need = task.step.reserved
        step_key = task.key[:3]
        in_rack = self._count_by_rack(task)
        best = None
        best_rank = None
        for vm in self._pools.get(task.pool, ()):
            if not need.fits(vm.free) or not is_allowed(
                task.step, step_key, vm.labels, vm.tasks_of_step
            ):
                continue
            if task.allowed is not None and vm.vm_id not in task.allowed:
                continue
            rank = _rank(vm, task, in_rack[vm.labels])
            if best_rank is None or rank < best_rank:
                best, best_rank = vm, rank
        return best

    def _count_by_rack(self, task: WaitingTask) -> Counter[tuple[str, ...]]:
        """Return how many tasks of a long-running step each rack has.

        VMs with the same labels are in one rack.
        """
        in_rack: Counter[tuple[str, ...]] = Counter()
        if task.step.is_long_running:
            for vm in self._pools.get(task.pool, ()):
                in_rack[vm.labels] += vm.tasks_of_step.get(task.key[:3], 0)
        return in_rack

    def _take(self, task: WaitingTask, vm: CandidateVm) -> RunStart:
        vm.free = vm.free - task.step.reserved
        vm.tasks_of_step[task.key[:3]] += 1
        vm.has_long_running = vm.has_long_running or task.step.is_long_running
        used = self._usage.get(task.customer, NO_AMOUNTS)
        self._usage[task.customer] = used + task.step.need
        return RunStart(task.key, vm.vm_id, vm.born_ms, task.checkpoint)

    def _give_back(self, task: WaitingTask, vm: CandidateVm) -> None:
        vm.free = vm.free + task.step.reserved
        vm.tasks_of_step[task.key[:3]] -= 1
        self._usage[task.customer] = self._usage[task.customer] - task.step.need


def _rank(vm: CandidateVm, task: WaitingTask, n_in_rack: int) -> tuple:
    """Return the sort key of a VM for a task, the lowest first."""
    step = task.step
    is_far = bool(step.data_rack) and step.data_rack not in vm.labels
    has_its_part = n_in_rack >= math.ceil(step.n_tasks / MIN_RACKS_OF_STEP)
    return (
        vm.is_avoided or vm.vm_id in task.avoided,
        is_far,
        step.is_long_running and has_its_part,
        # A task that must not be interrupted would soon have to leave again.
        step.is_long_running and vm.is_awaiting_maintenance,
        # The others stay idle as far as possible, and can be moved or switched off.
        not vm.has_long_running,
        -vm.free.cpu,
        vm.vm_id,
    )
