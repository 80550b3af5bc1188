"""The tasks that wait for a place in the rack of their data, in a placement round."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Protocol

from ..jobs import TaskKey
from ._locality import (
    LocalitySettings,
    RackWait,
    RunEstimate,
    TaskTimes,
    end_of_wait,
)
from ._rack_room import (
    Opening,
    Release,
    VmRoom,
    book,
    first_gang_opening,
    first_opening,
    remaining_ms,
)
from ._view import CandidateVm, WaitingTask, is_allowed, is_far

__all__ = ["RackOutlook", "RackWaits"]


class RackOutlook(Protocol):
    """What a round knows about run times and capacity that becomes free."""

    def run_of(self, task: WaitingTask) -> RunEstimate | None:
        """Return the run time of a task in its rack; None if it isn't known."""

    def times_of(self, task: WaitingTask) -> TaskTimes | None:
        """Return what the wait of a task depends on; None if it is not to wait."""

    def releases_of(self, vm_id: str) -> Iterable[Release]:
        """Return the capacity that the present runs of a VM will free."""

    def rooms_on_the_way(self, pool: str) -> Iterable[VmRoom]:
        """Return the VMs of a pool that will soon accept runs."""


class RackWaits:
    """The waits for racks in one round of placement.

    Tasks are asked about in the order of their urgency. Each that waits books a place
    in its rack, so that those after it wait only for what is left.

    Parameters
    ----------
    cfg : LocalitySettings
        The settings.
    outlook : RackOutlook
        Run times and capacity that becomes free.
    contended : mapping of str to bool
        For each pool, whether the tasks that wait need more than is free.
    now_ms : float
        Unix time.
    wanted : mapping of str to collection of str
        For each pool, the racks for which tasks have waited since an earlier round.

    Attributes
    ----------
    deferred : set of TaskKey
        The tasks that wait.
    waits : dict of TaskKey to RackWait
        Their waits; the one of a gang is by its first task.
    error : Exception or None
        An error in a decision; the task then starts as if there were no waits.
    """

    __slots__ = (
        "_cfg",
        "_contended",
        "_now_ms",
        "_on_the_way",
        "_outlook",
        "_rooms",
        "_starts",
        "_wanted",
        "deferred",
        "error",
        "waits",
    )

    def __init__(
        self,
        cfg: LocalitySettings,
        *,
        outlook: RackOutlook,
        contended: Mapping[str, bool],
        now_ms: float,
        wanted: Mapping[str, Collection[str]] | None = None,
    ) -> None:
        self._cfg = cfg
        self._wanted = wanted or {}
        self._outlook = outlook
        self._contended = contended
        self._now_ms = now_ms
        self._rooms: dict[str, VmRoom] = {}
        self._on_the_way: dict[str, list[VmRoom]] = {}
        self._starts: dict[str, list[WaitingTask]] = {}
        self.deferred: set[TaskKey] = set()
        self.error: Exception | None = None
        self.waits: dict[TaskKey, RackWait] = {}

    def wanted_racks(self, task: WaitingTask) -> Collection[str]:
        """Return the racks that a task leaves to others if it can."""
        racks = self._wanted.get(task.pool, ())
        return () if task.step.data_rack in racks else racks

    def note_start(self, task: WaitingTask, vm: CandidateVm) -> None:
        """Record that a task starts on a VM in this round."""
        room = self._rooms.get(vm.vm_id)
        if room is None:
            self._starts.setdefault(vm.vm_id, []).append(task)
        else:
            room.reserve(task.step.reserved, self._release_of(task, vm.labels))

    def defers(
        self, task: WaitingTask, vm: CandidateVm, vms: Sequence[CandidateVm]
    ) -> bool:
        """Return whether a task waits for its rack rather than start on a VM.

        Parameters
        ----------
        task : WaitingTask
            The task.
        vm : CandidateVm
            The best VM for it that has room.
        vms : sequence of CandidateVm
            The VMs of its pool.
        """
        step = task.step
        if not is_far(step, vm.labels) or not _may_wait(task):
            return False
        return self._decide((task,), vms, self._opening)

    def is_rack_gang(self, tasks: Sequence[WaitingTask]) -> bool:
        """Return whether the tasks are a gang that should stay within one rack."""
        step = tasks[0].step
        is_bound = step.is_rack_bound and step.n_tasks > 1
        return (
            step.is_gang
            and (is_bound or bool(step.data_rack))
            and all(_may_wait(task) for task in tasks)
        )

    def defers_gang(
        self, tasks: Sequence[WaitingTask], vms: Sequence[CandidateVm]
    ) -> bool:
        """Return whether a gang without a rack for all its tasks waits for one.

        Parameters
        ----------
        tasks : sequence of WaitingTask
            The tasks of the gang, which have room on VMs of other or several racks.
        vms : sequence of CandidateVm
            The VMs of its pool.
        """
        return self._decide(tasks, vms, self._gang_opening)

    def _decide(
        self,
        tasks: Sequence[WaitingTask],
        vms: Sequence[CandidateVm],
        find_opening: Callable[..., Opening | None],
    ) -> bool:
        """Return whether tasks wait; with an error, they don't.

        An error in an estimate must not keep tasks from their start.
        """
        try:
            return self._wait(tasks, find_opening(tasks, vms))
        except Exception as exc:
            self.error = exc
            return False

    def _opening(
        self, tasks: Sequence[WaitingTask], vms: Sequence[CandidateVm]
    ) -> Opening | None:
        """Return the first place for a task in its rack."""
        step = tasks[0].step
        rooms = self._rooms_for(tasks[0], vms)
        near = (room for room in rooms if step.data_rack in room.labels)
        return first_opening(near, step.reserved)

    def _gang_opening(
        self, tasks: Sequence[WaitingTask], vms: Sequence[CandidateVm]
    ) -> Opening | None:
        """Return the first time at which one rack has room for a whole gang."""
        task, step = tasks[0], tasks[0].step
        by_rack: dict[tuple[str, ...], list[VmRoom]] = {}
        for room in self._rooms_for(task, vms, is_gang=True):
            if not is_far(step, room.labels):
                by_rack.setdefault(room.labels, []).append(room)
        if not step.is_rack_bound:
            by_rack = {(): [room for rooms in by_rack.values() for room in rooms]}
        openings = [
            first_gang_opening(
                rooms, step.reserved, len(tasks), max_per_vm=step.max_per_vm
            )
            for rooms in by_rack.values()
        ]
        known = [opening for opening in openings if opening is not None]
        return min(known, key=lambda opening: opening[:2], default=None)

    def _wait(self, tasks: Sequence[WaitingTask], opening: Opening | None) -> bool:
        """Decide whether tasks wait for an opening, and book it if so."""
        task = tasks[0]
        times = self._outlook.times_of(task)
        if times is None or opening is None:
            return False
        until_ms = end_of_wait(
            times,
            opening,
            now_ms=self._now_ms,
            penalty=self._cfg.remote_penalty,
            is_contended=self._contended.get(task.pool, False),
        )
        if until_ms is None:
            return False
        book(opening, task.step.reserved, *times.run)
        self.deferred.update(each.key for each in tasks)
        self.waits[task.key] = RackWait(
            rack=task.step.data_rack,
            begun_ms=times.begun_ms,
            until_ms=until_ms,
            expected_ms=opening.at_ms,
            saved_ms=(self._cfg.remote_penalty - 1) * times.run.run_ms,
        )
        return True

    def _rooms_for(
        self, task: WaitingTask, vms: Sequence[CandidateVm], *, is_gang: bool = False
    ) -> list[VmRoom]:
        """Return the VMs, now or soon in the pool, that a task may wait for.

        A VM that has room for it now and was not chosen is unsuitable for another
        reason. That isn't so for a gang, which needs room for all its tasks.
        """
        step, step_key = task.step, task.key[:3]
        rooms = [
            self._room(vm)
            for vm in vms
            if (is_gang or not is_far(step, vm.labels))
            and (is_gang or not step.reserved.fits(vm.free))
            and not _is_unsuitable(vm, task)
            and is_allowed(step, step_key, vm.labels, vm.tasks_of_step)
        ]
        if task.allowed is None:
            if task.pool not in self._on_the_way:
                on_the_way = self._outlook.rooms_on_the_way(task.pool)
                self._on_the_way[task.pool] = list(on_the_way)
            rooms += [
                room
                for room in self._on_the_way[task.pool]
                if not step.label or step.label in room.labels
            ]
        return rooms

    def _room(self, vm: CandidateVm) -> VmRoom:
        room = self._rooms.get(vm.vm_id)
        if room is None:
            starts = self._starts.pop(vm.vm_id, ())
            releases = [self._release_of(task, vm.labels) for task in starts]
            room = VmRoom(
                labels=vm.labels,
                free=vm.free,
                releases=[
                    *self._outlook.releases_of(vm.vm_id),
                    *(release for release in releases if release is not None),
                ],
            )
            self._rooms[vm.vm_id] = room
        return room

    def _release_of(self, task: WaitingTask, labels: tuple[str, ...]) -> Release | None:
        """Return when a task that starts now will free its place, None if unknown."""
        run = self._outlook.run_of(task)
        if run is None:
            return None
        factor = self._cfg.remote_penalty if is_far(task.step, labels) else 1.0
        times = remaining_ms(factor * run.run_ms, run.deviation, 0.0)
        return Release(*times, task.step.reserved)


def _may_wait(task: WaitingTask) -> bool:
    """Return whether a task may wait for its rack at all.

    The users of a long-running task have nothing meanwhile. A suspect looks for VMs by
    other rules.
    """
    return not (
        task.step.is_long_running
        or task.has_waited
        or task.is_isolated
        or task.is_suspect
    )


def _is_unsuitable(vm: CandidateVm, task: WaitingTask) -> bool:
    """Return whether a task prefers VMs outside its rack to a VM in it."""
    return (
        vm.is_avoided
        or vm.is_ejected
        or bool(vm.suspect_jobs)
        or vm.vm_id in task.avoided
        or vm.isolated_job not in ("", task.key.job_id)
        or (task.allowed is not None and vm.vm_id not in task.allowed)
    )
