"""Chooses VMs for waiting tasks."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

from ..jobs import NO_AMOUNTS, Amounts, RunStart
from ._rack_waits import RackWaits
from ._view import CandidateVm, WaitingTask, is_allowed, is_far, keeps_budget

__all__ = ["Placer"]

_Place = tuple[RunStart, WaitingTask, CandidateVm]

# The long-running tasks of a step are spread over at least this many racks (and so VMs)
# if the capacity allows it, so that the loss of one rack leaves the rest running. More
# racks would keep more VMs switched on.
MIN_RACKS_OF_STEP = 2
# Isolated tasks that find no VM without runs may keep this share of a pool's VMs from
# all other tasks, and one VM in any case.
MAX_ISOLATED_SHARE = 0.25


class Placer:
    """Places tasks in one placement round and tracks the remaining free capacity.

    The caller passes the steps in the order of their urgency.

    Parameters
    ----------
    pools : mapping of str to list of CandidateVm
        The VMs of each pool that accept new runs. Their free capacity is reduced as
        tasks are placed.
    usage : mapping of str to Amounts
        The resources in use by each customer's running tasks.
    limits : mapping of str to Amounts
        Upper limit of each customer; an amount of 0 means no limit.
    rack_waits : RackWaits or None
        Decides which tasks wait for the rack of their data; None if none does.
    """

    __slots__ = ("_limits", "_pools", "_rack_waits", "_unplaced_needs", "_usage")

    def __init__(
        self,
        *,
        pools: Mapping[str, list[CandidateVm]],
        usage: Mapping[str, Amounts],
        limits: Mapping[str, Amounts],
        rack_waits: RackWaits | None = None,
    ) -> None:
        self._pools = pools
        self._rack_waits = rack_waits
        self._usage = dict(usage)
        self._limits = limits
        # By pool, what tasks without further conditions needed that no VM had free.
        self._unplaced_needs: dict[str, set[Amounts]] = {}

    def place_step(self, tasks: Sequence[WaitingTask]) -> tuple[RunStart, ...]:
        """Place the tasks of a step in order, up to the first that finds no VM.

        A gang is placed as a whole or not at all.

        Returns
        -------
        tuple of RunStart
            The starts of the tasks that were placed.
        """
        if self._rack_waits is None or not self._rack_waits.is_rack_gang(tasks):
            placed = self._place_tasks(tasks)
        else:
            placed = self._place_rack_gang(tasks)
        if self._rack_waits is not None:
            for _, task, vm in placed:
                self._rack_waits.note_start(task, vm)
        return tuple(start for start, _, _ in placed)

    def is_deferred(self, task: WaitingTask) -> bool:
        """Return whether a task waits for a place in its rack in this round."""
        return self._rack_waits is not None and task.key in self._rack_waits.deferred

    def _place_tasks(
        self,
        tasks: Sequence[WaitingTask],
        vms: Sequence[CandidateVm] | None = None,
    ) -> list[_Place]:
        """Place tasks on VMs of their pool, or on some of these.

        Tasks that wait for their rack are passed over.
        """
        is_gang = tasks[0].step.is_gang
        placed: list[_Place] = []
        for task in tasks:
            vm = None
            if self.is_within_limit(task.customer, task.step.need):
                vm = self._choose_vm(task, vms)
            if vm is None:
                break
            if not is_gang and self._defers(task, vm):
                continue
            placed.append((self._reserve(task, vm), task, vm))
        if len(placed) < len(tasks) and is_gang:
            self._release_all(placed)
            self._unplaced_needs.clear()
            return []
        return placed

    def _defers(self, task: WaitingTask, vm: CandidateVm) -> bool:
        return self._rack_waits is not None and self._rack_waits.defers(
            task, vm, self._pools[task.pool]
        )

    def _place_rack_gang(self, tasks: Sequence[WaitingTask]) -> list[_Place]:
        """Place a gang that should stay within one rack.

        Without a rack that has room for all its tasks, the gang waits for one or is
        spread over several. Those with least capacity left are tried first.
        """
        step = tasks[0].step
        racks: dict[tuple[str, ...], list[CandidateVm]] = {}
        for vm in self._usable_vms(tasks[0].pool):
            if not vm.is_avoided:
                racks.setdefault(vm.labels, []).append(vm)
        near = [vms for labels, vms in racks.items() if not is_far(step, labels)]
        far = [vms for labels, vms in racks.items() if is_far(step, labels)]
        if not step.is_rack_bound:
            near, far = [[vm for vms in near for vm in vms]], []
        for vms in sorted(near, key=_free_cpu):
            placed = self._place_tasks(tasks, vms)
            if placed:
                return placed
        for vms in [*sorted(far, key=_free_cpu), None]:
            placed = self._place_tasks(tasks, vms)
            if placed:
                break
        if placed:
            self._release_all(placed)
            if self._rack_waits.defers_gang(tasks, self._pools[tasks[0].pool]):
                return []
            placed = self._place_tasks(tasks, vms)
        return placed

    def reserve_vm(self, task: WaitingTask) -> None:
        """Keep new runs from a VM, so that an isolated task finds it without runs.

        The VM with the fewest runs is chosen. A part of the VMs of a pool may be
        reserved or used by isolated tasks at a time.

        Parameters
        ----------
        task : WaitingTask
            An isolated task that found no VM.
        """
        vms = self._usable_vms(task.pool)
        if any(vm.isolated_job == task.key.job_id for vm in vms):
            return
        n_isolated = sum(bool(vm.isolated_job) for vm in vms)
        if n_isolated >= max(1, int(MAX_ISOLATED_SHARE * len(vms))):
            return
        options = [
            vm
            for vm in vms
            if not vm.isolated_job
            and _can_be_freed_for(vm, task)
            and self._is_unused_machine(vm, task)
        ]
        if options:
            best = min(options, key=lambda vm: (vm.n_runs, vm.vm_id))
            best.isolated_job = task.key.job_id

    def keep_room(self, task: WaitingTask, vm_id: str) -> None:
        """Keep room on a VM for a task that starts there in a later round."""
        for vm in self._pools.get(task.pool, ()):
            if vm.vm_id == vm_id:
                vm.free = vm.free - task.step.reserved

    def is_underused(self, pool: str) -> bool:
        """Return whether at least half of each resource of a pool's VMs is free."""
        vms = self._usable_vms(pool)
        free = sum((vm.free for vm in vms), NO_AMOUNTS)
        capacity = sum((vm.capacity for vm in vms), NO_AMOUNTS)
        return capacity.fits(free + free)

    def is_within_limit(self, customer: str, need: Amounts) -> bool:
        """Return whether a customer stays within its limit with `need` added."""
        limit = self._limits.get(customer)
        if limit is None:
            return True
        total = self._usage.get(customer, NO_AMOUNTS) + need
        return (
            (not limit.cpu or total.cpu <= limit.cpu)
            and (not limit.memory_mb or total.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or total.accelerators <= limit.accelerators)
        )

    def _usable_vms(self, pool: str) -> list[CandidateVm]:
        """Return the VMs of a pool that are not ejected."""
        return [vm for vm in self._pools.get(pool, ()) if not vm.is_ejected]

    def _choose_vm(
        self, task: WaitingTask, vms: Sequence[CandidateVm] | None = None
    ) -> CandidateVm | None:
        """Return the best VM with room for a task, of its pool or of the given ones."""
        need = task.step.reserved
        unplaced = self._unplaced_needs.setdefault(task.pool, set())
        takes_any_vm = task.takes_any_vm
        if not takes_any_vm and any(other.fits(need) for other in unplaced):
            return None
        has_budget = task.step.is_long_running and task.step.disruption_budget > 0
        step_key = task.key[:3]
        n_by_rack = self._count_by_rack(task)
        wanted = ()
        if self._rack_waits is not None and not task.step.is_long_running:
            wanted = self._rack_waits.wanted_racks(task)
        best = None
        best_rank = None
        for vm in self._pools.get(task.pool, ()) if vms is None else vms:
            if not need.fits(vm.free) or not is_allowed(
                task.step, step_key, vm.labels, vm.tasks_of_step
            ):
                continue
            if task.allowed is not None and vm.vm_id not in task.allowed:
                continue
            breaks_budget = has_budget and not keeps_budget(
                task.step, step_key, vm.tasks_of_step
            )
            is_kept = vm.isolated_job not in ("", task.key.job_id)
            if (breaks_budget or is_kept or vm.is_ejected) and not takes_any_vm:
                continue
            if task.is_isolated and not self._may_isolate(vm, task):
                continue
            is_wanted = any(rack in vm.labels for rack in wanted)
            rank = _rank(vm, task, n_by_rack[vm.labels], is_wanted=is_wanted)
            if takes_any_vm:
                rank = (breaks_budget, is_kept, vm.is_ejected, *rank)
            if best_rank is None or rank < best_rank:
                best, best_rank = vm, rank
        if best is None and vms is None and not task.has_conditions:
            unplaced.add(need)
        return best

    def _may_isolate(self, vm: CandidateVm, task: WaitingTask) -> bool:
        """Return whether an isolated task may run on a VM.

        Two suspects never share one, since its crash would speak against both.
        """
        if task.has_waited:
            return vm.suspect_jobs <= {task.key.job_id}
        return vm.may_isolate(task.key.job_id) and self._is_unused_machine(vm, task)

    def _is_unused_machine(self, vm: CandidateVm, task: WaitingTask) -> bool:
        """Return whether a crash of a VM would speak against a task, not its machine.

        This is so on a machine on which it has crashed no VM yet, or if its pool has no
        other machine for it.
        """
        if vm.machine not in task.crashed_machines:
            return True
        vms = self._usable_vms(task.pool)
        return all(
            other.machine in task.crashed_machines or not _can_be_freed_for(other, task)
            for other in vms
        )

    def _count_by_rack(self, task: WaitingTask) -> Counter[tuple[str, ...]]:
        """Count the tasks of a long-running step by rack.

        VMs with the same labels are in the same rack. The count is empty for other
        steps.
        """
        n_by_rack: Counter[tuple[str, ...]] = Counter()
        if task.step.is_long_running:
            for vm in self._pools.get(task.pool, ()):
                n_by_rack[vm.labels] += vm.tasks_of_step.get(task.key[:3], 0)
        return n_by_rack

    def _reserve(self, task: WaitingTask, vm: CandidateVm) -> RunStart:
        vm.free = vm.free - task.step.reserved
        vm.tasks_of_step[task.key[:3]] += 1
        vm.is_retried = False
        vm.has_long_running = vm.has_long_running or task.step.is_long_running
        if task.is_suspect:
            vm.suspect_jobs.add(task.key.job_id)
        if task.is_isolated:
            vm.isolated_job = task.key.job_id
        used = self._usage.get(task.customer, NO_AMOUNTS)
        self._usage[task.customer] = used + task.step.need
        return RunStart(task.key, vm.vm_id, vm.born_ms, task.checkpoint)

    def _release_all(self, placed: Sequence[_Place]) -> None:
        for _, task, vm in placed:
            self._release(task, vm)

    def _release(self, task: WaitingTask, vm: CandidateVm) -> None:
        vm.free = vm.free + task.step.reserved
        vm.tasks_of_step[task.key[:3]] -= 1
        self._usage[task.customer] = self._usage[task.customer] - task.step.need


def _can_be_freed_for(vm: CandidateVm, task: WaitingTask) -> bool:
    """Return whether a VM could run a task alone once its present runs have ended."""
    return (
        not vm.has_long_running
        and task.step.reserved.fits(vm.capacity)
        and is_allowed(task.step, task.key[:3], vm.labels, vm.tasks_of_step)
        and (task.allowed is None or vm.vm_id in task.allowed)
    )


def _free_cpu(vms: Sequence[CandidateVm]) -> int:
    return sum(vm.free.cpu for vm in vms)


def _slowness(vm: CandidateVm, task: WaitingTask) -> float:
    """Return how many times as long a task takes on a VM that is too slow for it.

    It is 0 for a short task if the VM is to be tried again.
    """
    if vm.is_retried and not task.step.is_long_running:
        return 0.0
    return 1 / vm.speed


def _rank(
    vm: CandidateVm, task: WaitingTask, n_in_rack: int, *, is_wanted: bool
) -> tuple:
    """Return the sort key of a VM for a task; the VM with the lowest key is chosen.

    Parameters
    ----------
    vm : CandidateVm
        The VM.
    task : WaitingTask
        The task.
    n_in_rack : int
        Number of tasks of the same step in the VM's rack.
    is_wanted : bool
        Whether other tasks wait for the VM's rack.
    """
    step = task.step
    has_its_share = n_in_rack >= math.ceil(step.n_tasks / MIN_RACKS_OF_STEP)
    return (
        vm.is_avoided or vm.vm_id in task.avoided,
        vm.machine in task.crashed_machines,
        # A VM that crashes takes its other runs with it: suspects go where few are.
        bool(vm.suspect_jobs),
        vm.n_runs if task.is_suspect else 0,
        _slowness(vm, task) if vm.speed < task.min_speed else 0.0,
        is_far(step, vm.labels),
        step.is_long_running and has_its_share,
        # Maintenance of the machine would soon interrupt a long-running task.
        step.is_long_running and vm.is_awaiting_maintenance,
        is_wanted,
        # Packing tasks on VMs that have to stay on, and on those with least capacity
        # left, keeps the other VMs idle, so that these can be moved to another pool or
        # switched off.
        not vm.has_long_running,
        -vm.free.cpu if step.is_long_running else vm.free.cpu,
        vm.vm_id,
    )
