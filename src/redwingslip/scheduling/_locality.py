"""The leader's estimates for waits of tasks for their racks, and its log of them."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from datetime import timedelta

from ..jobs import JobRecord, JobsState, RunStart, StepSpec, TaskKey
from ..observe import EventName
from ..placement import (
    CandidateVm,
    LocalitySettings,
    RackWait,
    RackWaits,
    Release,
    RunEstimate,
    TaskTimes,
    Urgency,
    VmRoom,
    WaitingTask,
    is_far,
    remaining_ms,
)
from ..workers import RunTimeModel
from ._job_index import USELESS_AFTER_OBJECTIVES
from ._machines import MachineRegistry
from ._moves import ArrivingVm
from ._term import Term
from ._wait_reasons import describe_rack_wait

__all__ = ["RackLocality"]

MS = timedelta(milliseconds=1)
# Callers' estimates are off by a factor of up to e (platform contract). This is the
# standard deviation of a logarithm that is evenly spread over [-1, 1].
UNKNOWN_DEVIATION = 1 / math.sqrt(3)
# A VM that has yet to answer its first poll takes about this long: two polls, the
# first of which only reads its clock.
FIRST_POLLS_MS = 100.0


class RackLocality:
    """Estimates for the waits of tasks for racks, and the log of these waits.

    It is the `RackOutlook` of the placement rounds of one term. Nothing of it is in the
    replicated log: a new leader derives the start of each wait from the job.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their agents.
    run_times : RunTimeModel
        Run times of finished runs.
    arriving : callable
        Returns the VMs that are on their way to a pool.
    cfg : LocalitySettings
        The settings.
    """

    __slots__ = (
        "_arriving",
        "_cfg",
        "_due_ms",
        "_has_begun",
        "_has_failed",
        "_inherited_ms",
        "_machines",
        "_now_ms",
        "_open_waits",
        "_ready",
        "_run_times",
        "_state",
        "_term",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        run_times: RunTimeModel,
        arriving: Callable[[str], Iterable[ArrivingVm]],
        cfg: LocalitySettings,
    ) -> None:
        self._term = term
        self._state: JobsState = term.state
        self._machines = machines
        self._run_times = run_times
        self._arriving = arriving
        self._cfg = cfg
        self._now_ms = 0.0
        self._has_begun = False
        self._has_failed = False
        self._due_ms: dict[str, float] = {}
        self._ready: dict[TaskKey, WaitingTask] = {}
        self._inherited_ms: dict[TaskKey, float] = {}
        self._open_waits: dict[TaskKey, RackWait] = {}

    def begin_round(
        self,
        jobs: Sequence[tuple[Urgency, Sequence[WaitingTask]]],
        pools: Mapping[str, Sequence[CandidateVm]],
    ) -> RackWaits | None:
        """Return the waits of a new round, without any yet; None after an error.

        Parameters
        ----------
        jobs : sequence of tuple of Urgency, sequence of WaitingTask
            The waiting tasks by job.
        pools : mapping of str to sequence of CandidateVm
            The VMs of each pool that accept new runs.
        """
        try:
            return self._new_waits(jobs, pools)
        except Exception as exc:
            self._report_error(exc)
            return None

    def _new_waits(
        self,
        jobs: Sequence[tuple[Urgency, Sequence[WaitingTask]]],
        pools: Mapping[str, Sequence[CandidateVm]],
    ) -> RackWaits:
        self._now_ms = self._term.now_ms()
        self._due_ms = {tasks[0].key.job_id: urgency.due_ms for urgency, tasks in jobs}
        self._note_ready(task for _, tasks in jobs for task in tasks)
        demand: Counter[str] = Counter()
        for _, tasks in jobs:
            demand[tasks[0].pool] += sum(task.step.reserved.cpu for task in tasks)
        return RackWaits(
            self._cfg,
            outlook=self,
            contended={
                pool: demand[pool] > sum(vm.free.cpu for vm in vms)
                for pool, vms in pools.items()
            },
            now_ms=self._now_ms,
            wanted=self._wanted_racks(),
        )

    def _wanted_racks(self) -> dict[str, set[str]]:
        """Return the racks for which tasks wait since the last round, by pool."""
        wanted: dict[str, set[str]] = {}
        for key, wait in self._open_waits.items():
            if wait.rack and key in self._ready:
                wanted.setdefault(self._ready[key].pool, set()).add(wait.rack)
        return wanted

    def end_round(self, waits: RackWaits, starts: Sequence[RunStart]) -> None:
        """Log the waits that have begun or ended in a round, and errors."""
        try:
            self._log_waits(waits, starts)
        except Exception as exc:
            self._report_error(exc)
        if waits.error is not None:
            self._report_error(waits.error)

    def _report_error(self, exc: Exception) -> None:
        """Log the first error of a term; tasks are placed without waits then."""
        if not self._has_failed:
            self._has_failed = True
            detail = f"tasks don't wait for racks: {exc!r}"
            self._term.emit(EventName.WARNING, detail=detail)

    def _log_waits(self, waits: RackWaits, starts: Sequence[RunStart]) -> None:
        for key, wait in waits.waits.items():
            if key not in self._open_waits:
                self._report_begin(key, wait)
            self._open_waits[key] = wait
        for start in starts:
            wait = self._open_waits.pop(start.key, None)
            if wait is not None:
                self._report_start(start, wait, starts)
        for key in self._open_waits.keys() - self._ready.keys():
            self._report_end(key, self._open_waits.pop(key), "dropped", "no start")

    def run_of(self, task: WaitingTask) -> RunEstimate | None:
        """Return the run time of a task in its rack; None if it isn't known."""
        job = self._state.jobs.get(task.key.job_id)
        return None if job is None else self._run_estimate(job, task.step)

    def times_of(self, task: WaitingTask) -> TaskTimes | None:
        """Return what the wait of a task depends on; None if it is not to wait.

        The second run of a task whose VM is silent is not to wait.
        """
        job = self._state.jobs[task.key.job_id]
        run = self._run_estimate(job, task.step)
        if run is None or self._state.task(task.key).runs:
            return None
        due_ms = self._due_ms[task.key.job_id]
        objective_ms = due_ms - job.accepted_ms
        return TaskTimes(
            begun_ms=self._begun_ms(task.key),
            run=run,
            path_ms=self._path_after_ms(job, task.key.step),
            due_ms=due_ms,
            expiry_ms=job.accepted_ms + USELESS_AFTER_OBJECTIVES * objective_ms,
        )

    def releases_of(self, vm_id: str) -> list[Release]:
        """Return the capacity that the present runs of a VM will free."""
        agent = self._machines.agents.get(vm_id)
        labels = () if agent is None else agent.vm.labels
        releases = []
        for run in self._state.runs_of(vm_id):
            step = self._state.step(run.key)
            estimate = self._run_estimate(self._state.jobs[run.key.job_id], step)
            if estimate is None:
                continue
            factor = self._cfg.remote_penalty if is_far(step, labels) else 1.0
            elapsed_ms = self._now_ms - run.started_ms if run.started_ms else 0.0
            factor /= self._machines.speed(vm_id)
            times = remaining_ms(
                factor * estimate.run_ms, estimate.deviation, elapsed_ms
            )
            releases.append(Release(*times, step.reserved))
        return releases

    def rooms_on_the_way(self, pool: str) -> Iterator[VmRoom]:
        """Yield the VMs of a pool that will soon accept runs.

        These are VMs that have yet to answer their first poll, as all are for a new
        leader, and machines that are being moved to the pool.
        """
        awaited = set()
        for vm_id, agent in self._machines.agents.items():
            vm = agent.vm
            if vm.pool != pool or not agent.is_awaited or vm.is_draining:
                continue
            if self._machines.is_claimed(vm.machine):
                continue
            awaited.add(vm.machine)
            yield VmRoom(
                labels=vm.labels,
                free=vm.capacity - self._state.usage.of_vm(vm_id)[0],
                releases=self.releases_of(vm_id),
                at_ms=FIRST_POLLS_MS,
                late_ms=2 * FIRST_POLLS_MS,
            )
        now = self._term.clock.monotonic()
        for vm in self._arriving(pool):
            if vm.machine not in awaited:
                yield VmRoom(
                    labels=vm.labels,
                    free=vm.capacity,
                    at_ms=max(0.0, (vm.expected_at - now) / MS),
                    late_ms=max(0.0, (vm.until - now) / MS),
                )

    def _run_estimate(self, job: JobRecord, step: StepSpec) -> RunEstimate | None:
        if step.is_long_running or step.estimate_ms <= 0:
            return None
        queue = job.spec.queue
        run_ms = self._run_times.expected(queue, step.estimate_ms * MS) / MS
        deviation = self._run_times.deviation(queue)
        return RunEstimate(
            max(1.0, run_ms), UNKNOWN_DEVIATION if deviation is None else deviation
        )

    def _path_after_ms(self, job: JobRecord, number: int) -> float:
        """Return the expected duration of the longest path of steps after a step."""
        after_ms = {number: 0.0}
        for later, step in enumerate(job.spec.steps):
            begins = [after_ms[i] for i in step.after if i in after_ms]
            if later > number and begins:
                run = self._run_estimate(job, step)
                after_ms[later] = max(begins) + (run.run_ms if run else 0.0)
        return max(after_ms.values())

    def _note_ready(self, tasks: Iterable[WaitingTask]) -> None:
        """Keep which tasks may wait for a rack, and those that may have done so before.

        These are the tasks that were ready before the first round of this term. Their
        waits under an earlier leader began at the earliest when they became ready.
        """
        self._ready = {task.key: task for task in tasks if _wants_rack(task.step)}
        if not self._has_begun:
            self._inherited_ms = {key: self._earliest_ms(key) for key in self._ready}
            self._has_begun = True
        for key in self._inherited_ms.keys() - self._ready.keys():
            del self._inherited_ms[key]

    def _earliest_ms(self, key: TaskKey) -> float:
        """Return the earliest Unix time at which a task can have become ready."""
        job = self._state.jobs[key.job_id]
        repetition = job.spec.repetition
        if repetition is None:
            return job.accepted_ms
        return repetition.first_at_ms + key.occurrence * repetition.interval_ms

    def _begun_ms(self, key: TaskKey) -> float:
        """Return since when a task waits for its rack, if it is to wait now."""
        wait = self._open_waits.get(key)
        if wait is not None:
            return wait.begun_ms
        return self._inherited_ms.get(key, self._now_ms)

    def _report_begin(self, key: TaskKey, wait: RackWait) -> None:
        self._term.metrics.add_rack_wait(outcome="begun")
        self._term.emit(
            EventName.RACK_WAIT_BEGUN,
            request_id=key.job_id,
            detail=f"{self._label(key)} {describe_rack_wait(wait)}",
        )

    def _report_start(
        self, start: RunStart, wait: RackWait, starts: Sequence[RunStart]
    ) -> None:
        """Log that a task that waited starts, with the time that it saved or lost."""
        step = self._state.step(start.key)
        step_starts = (s for s in starts if s.key[:3] == start.key[:3])
        members = list(step_starts) if step.is_gang else [start]
        labels = {self._labels_of(member.vm_id) for member in members}
        is_near = not any(is_far(step, each) for each in labels)
        if step.is_gang and step.is_rack_bound:
            is_near = is_near and len(labels) == 1
        waited_ms = self._now_ms - wait.begun_ms
        gain_ms = wait.saved_ms - waited_ms if is_near else -waited_ms
        outcome = "near" if is_near else "far"
        self._term.metrics.add_rack_wait_time(gain_ms * MS)
        place = "in the rack" if is_near else "elsewhere"
        detail = f"started {place} after {waited_ms:.0f} ms; {gain_ms:+.0f} ms gained"
        self._report_end(start.key, wait, outcome, detail, vm=start.vm_id)

    def _report_end(
        self, key: TaskKey, wait: RackWait, outcome: str, detail: str, *, vm: str = ""
    ) -> None:
        self._term.metrics.add_rack_wait(outcome=outcome)
        rack = wait.rack or "any one rack"
        self._term.emit(
            EventName.RACK_WAIT_ENDED,
            request_id=key.job_id,
            vm=vm,
            detail=f"{self._label(key)} for {rack}: {detail}",
        )

    def _label(self, key: TaskKey) -> str:
        task = self._state.task(key)
        return key.label(0 if task is None else task.n_runs)

    def _labels_of(self, vm_id: str) -> tuple[str, ...]:
        agent = self._machines.agents.get(vm_id)
        return () if agent is None else agent.vm.labels


def _wants_rack(step: StepSpec) -> bool:
    """Return whether the tasks of a step may wait for a rack."""
    is_bound_gang = step.is_gang and step.is_rack_bound
    return not step.is_long_running and (bool(step.data_rack) or is_bound_gang)
