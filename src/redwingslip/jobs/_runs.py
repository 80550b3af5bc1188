"""The runs of the replicated state: their starts and ends."""

from collections.abc import Iterator

from ._active_runs import ActiveRun, ActiveRuns
from ._commands import RecordEnds, RunEnd, RunStart, StartRuns
from ._evacuations import Evacuations
from ._jobs import Jobs
from ._plans import Plans
from ._records import ACTIVE_STATUSES, EndKind, RunRecord
from ._spec import TaskKey
from ._vms import Vms

__all__ = ["Runs"]

# Far more runs of one task than leaders close while a VM can still report an end.
MAX_UNREPORTED = 32


class Runs:
    """The runs that may be alive, and what their starts and ends mean for a job.

    Parameters
    ----------
    active : ActiveRuns
        Index of the runs, which it keeps up to date.
    jobs : Jobs
        Jobs of the runs.
    plans : Plans
        Plans with the queues of the jobs.
    vms : Vms
        VMs that the runs start on.
    evacuations : Evacuations
        Data centres in which no run starts.
    """

    __slots__ = ("_active", "_evacuations", "_jobs", "_plans", "_vms")

    def __init__(
        self,
        active: ActiveRuns,
        *,
        jobs: Jobs,
        plans: Plans,
        vms: Vms,
        evacuations: Evacuations,
    ) -> None:
        self._active = active
        self._jobs = jobs
        self._plans = plans
        self._vms = vms
        self._evacuations = evacuations

    def add(self, key: TaskKey, run: RunRecord) -> ActiveRun:
        """Add a run of a task to the index of runs, and return its entry."""
        active = self._active.add(key, run, self._jobs.by_id[key.job_id].spec)
        if self._jobs.task(key).n_suspected_crashes:
            self._active.add_suspects(key, [run])
        return active

    def start(self, command: StartRuns) -> tuple[ActiveRun, ...]:
        """Start runs and return those that were started, without the ignored ones."""
        starts = command.starts
        if self._evacuations.started:
            starts = self._outside_evacuations(starts)
        gang_run_numbers = self._find_gang_run_numbers(starts)
        runs = (
            self._start_one(start, command.now_ms, gang_run_numbers) for start in starts
        )
        return tuple(run for run in runs if run is not None)

    def note_progress(self, command: RecordEnds) -> None:
        """Record the runs that are at work, and those past their probation."""
        for run in self._find(command, command.at_work):
            run.is_at_work = True
        for run in self._find(command, command.past_probation):
            run.has_passed_probation = True

    def close(self, command: RecordEnds, end: RunEnd) -> bool:
        """Close a run if it is active on the command's incarnation of the VM.

        Return whether it was active. A report of the VM that comes after a leader has
        closed the run still counts: it tells how the run ended.
        """
        run_id = (end.key, end.number)
        active = self._active.find(command.vm_id, command.born_ms, run_id)
        task = self._jobs.task(end.key)
        if active is None:
            if command.cursor and task is not None and end.number in task.unreported:
                task.unreported.remove(end.number)
                self._count_end(end, command.now_ms)
            return False
        self._active.remove(active, self._jobs.by_id[end.key.job_id].spec)
        task.runs = [r for r in task.runs if r.number != end.number]
        if not command.cursor and not self._jobs.step(end.key).is_long_running:
            task.unreported = [*task.unreported, end.number][-MAX_UNREPORTED:]
        if end.checkpoint:
            self._jobs.set_checkpoint(end.key, end.checkpoint)
        self._count_end(end, command.now_ms)
        return True

    def close_lost(self, vm_id: str, born_ms: int, now_ms: int) -> tuple[RunEnd, ...]:
        """Close all runs on an incarnation of a VM as lost and return their ends."""
        ends = tuple(
            RunEnd(run.key, run.number, EndKind.LOST)
            for run in self._active.on_vm(vm_id, born_ms)
        )
        command = RecordEnds(vm_id=vm_id, born_ms=born_ms, ends=ends, now_ms=now_ms)
        for end in ends:
            self.close(command, end)
        return ends

    def _find(
        self, command: RecordEnds, run_ids: tuple[tuple[TaskKey, int], ...]
    ) -> Iterator[RunRecord]:
        """Yield those of the runs that may be alive on the command's incarnation."""
        place = (command.vm_id, command.born_ms)
        for key, number in run_ids:
            run = self._jobs.run(key, number)
            if run is not None and (run.vm_id, run.born_ms) == place:
                yield run

    def _outside_evacuations(
        self, starts: tuple[RunStart, ...]
    ) -> tuple[RunStart, ...]:
        """Return the starts on VMs that are not in an evacuated data centre.

        The leader may have proposed the others before the evacuation was committed. A
        gang starts as a whole or not at all.
        """
        vms = (self._vms.by_name.get(start.vm_id) for start in starts)
        is_evacuated = [
            vm is not None and self._evacuations.includes(vm.data_centre) for vm in vms
        ]
        refused_gangs = {
            start.key[:3]
            for start, refused in zip(starts, is_evacuated, strict=True)
            if refused
            and start.key.job_id in self._jobs.by_id
            and self._jobs.step(start.key).is_gang
        }
        return tuple(
            start
            for start, refused in zip(starts, is_evacuated, strict=True)
            if not refused and start.key[:3] not in refused_gangs
        )

    def _find_gang_run_numbers(self, starts: tuple[RunStart, ...]) -> dict[tuple, int]:
        """Return the next run number of each gang among the starts.

        All members of a gang get the same run number.
        """
        numbers: dict[tuple, int] = {}
        for start in starts:
            key = start.key
            task = self._jobs.task(key)
            if task is not None and self._jobs.step(key).is_gang:
                gang = key[:3]
                numbers[gang] = max(numbers.get(gang, 1), task.n_runs + 1)
        return numbers

    def _start_one(
        self, start: RunStart, now_ms: int, gang_run_numbers: dict[tuple, int]
    ) -> ActiveRun | None:
        key = start.key
        task = self._jobs.task(key)
        vm = self._vms.by_name.get(start.vm_id)
        if task is None or task.is_done or vm is None or vm.born_ms != start.born_ms:
            return None
        job = self._jobs.by_id[key.job_id]
        if job.status not in ACTIVE_STATUSES:
            return None
        if task.runs and not self._jobs.step(key).is_speculative:
            return None
        task.n_runs = gang_run_numbers.get(key[:3], task.n_runs + 1)
        run = RunRecord(
            task.n_runs, start.vm_id, start.born_ms, start.checkpoint, now_ms
        )
        task.runs.append(run)
        self._jobs.note_start(job)
        return self.add(key, run)

    def _count_end(self, end: RunEnd, now_ms: int) -> None:
        """Count the success or failure of a run for its task and job."""
        if end.kind is EndKind.FAILED:
            queue = self._plans.queue(self._jobs.by_id[end.key.job_id].spec.queue)
            max_attempts = None if queue is None else queue.max_attempts
            self._jobs.count_failure(end.key, now_ms, max_attempts=max_attempts)
        elif end.kind is EndKind.DONE and not self._jobs.step(end.key).is_long_running:
            self._jobs.complete_task(end.key, now_ms)
