"""The jobs of the replicated state, with the progress of their tasks."""

from collections.abc import Iterable

from ._commands import CancelJob, ForgetJobs, SubmitJob
from ._records import (
    ACTIVE_STATUSES,
    JobRecord,
    JobStatus,
    RunRecord,
    TaskRecord,
    iter_tasks,
)
from ._size import JobSizes
from ._spec import StepSpec, TaskKey

__all__ = ["Jobs"]


class Jobs:
    """The jobs, and the cancellations of unknown ones.

    `Runs` changes the runs of tasks and their numbers, and `Crashes` the VMs that have
    crashed or fallen silent under them; everything else in the records changes here.

    Attributes
    ----------
    by_id : dict of str to JobRecord
        Jobs by id.
    early_cancels : dict
        Unix times in milliseconds of the cancellations of unknown jobs, by id and
        customer.
    sizes : JobSizes
        Bytes of the jobs.
    """

    __slots__ = ("by_id", "early_cancels", "sizes")

    def __init__(
        self,
        jobs: Iterable[JobRecord],
        early_cancels: Iterable[tuple[str, str, int]],
    ) -> None:
        self.by_id: dict[str, JobRecord] = {job.spec.job_id: job for job in jobs}
        self.early_cancels: dict[tuple[str, str], int] = {
            (job_id, customer): at_ms for job_id, customer, at_ms in early_cancels
        }
        self.sizes = JobSizes()
        for job in self.by_id.values():
            self.sizes.add(job.spec)

    def task(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, or None if its job is unknown or has no such task."""
        job = self.by_id.get(key.job_id)
        if job is None:
            return None
        try:
            return job.tasks[key.occurrence][key.step][key.index]
        except IndexError:
            return None

    def step(self, key: TaskKey) -> StepSpec:
        """Return the step of a known task."""
        return self.by_id[key.job_id].spec.steps[key.step]

    def run(self, key: TaskKey, number: int) -> RunRecord | None:
        """Return a run that may be alive, or None if there is no such run."""
        task = self.task(key)
        runs = () if task is None else task.runs
        return next((run for run in runs if run.number == number), None)

    def submit(self, command: SubmitJob) -> JobRecord:
        """Accept a job; return the job with its id, whether it is new or known."""
        spec = command.spec
        job = self.by_id.get(spec.job_id)
        if job is None:
            job = JobRecord(
                spec,
                command.now_ms,
                tasks=_new_tasks(command),
                submit_call_id=command.call_id or 0,
            )
            self.by_id[spec.job_id] = job
            self.sizes.add(spec)
            cancelled_ms = self.early_cancels.pop((spec.job_id, spec.customer), None)
            if cancelled_ms is not None:
                job.status, job.ended_ms = JobStatus.CANCELLED, command.now_ms
            elif not any(step.n_tasks for step in spec.steps):
                job.status, job.ended_ms = JobStatus.COMPLETED, command.now_ms
        return job

    def cancel(self, command: CancelJob) -> JobRecord | None:
        """Cancel a job; return it, or None for an unknown id, which is noted."""
        job = self.by_id.get(command.job_id)
        if job is None:
            key = (command.job_id, command.customer)
            self.early_cancels.setdefault(key, command.now_ms)
        elif job.status in ACTIVE_STATUSES:
            job.status, job.ended_ms = JobStatus.CANCELLED, command.now_ms
            job.cancel_call_id = command.call_id or 0
        return job

    def forget(self, command: ForgetJobs) -> list[JobRecord]:
        """Remove jobs that have ended and have no run; return the removed ones."""
        forgotten = []
        for job_id in command.job_ids:
            job = self.by_id.get(job_id)
            has_ended = job is not None and job.status not in ACTIVE_STATUSES
            if has_ended and not any(task.runs for _, task in iter_tasks(job)):
                del self.by_id[job_id]
                self.sizes.remove(job_id)
                forgotten.append(job)
        for key in command.early_cancels:
            self.early_cancels.pop(key, None)
        return forgotten

    def note_start(self, job: JobRecord) -> None:
        """Note that a run of an active job starts."""
        job.status = JobStatus.RUNNING

    def fail(self, job: JobRecord, now_ms: int) -> bool:
        """Give up a job; return whether it was active."""
        if job.status not in ACTIVE_STATUSES:
            return False
        job.status, job.ended_ms = JobStatus.FAILED, now_ms
        return True

    def count_failure(
        self, key: TaskKey, now_ms: int, *, max_attempts: int | None
    ) -> None:
        """Count a failed run of a task; its job fails with the last attempt.

        `max_attempts` is None if nothing is known of the job's queue.
        """
        task = self.task(key)
        task.n_failures += 1
        if self.step(key).is_long_running or task.is_done or max_attempts is None:
            return
        if task.n_failures >= max_attempts:
            self.fail(self.by_id[key.job_id], now_ms)

    def set_checkpoint(self, key: TaskKey, checkpoint: str) -> None:
        """Set the last checkpoint of a task or of its gang.

        A gang works only if its members start with the same checkpoint.
        """
        for task in self._tasks_as_one(key):
            task.checkpoint = checkpoint

    def complete_task(self, key: TaskKey, now_ms: int) -> None:
        """Mark a task or its gang as done; complete the job with its last task."""
        for task in self._tasks_as_one(key):
            task.is_done = True
        job = self.by_id[key.job_id]
        if job.status not in ACTIVE_STATUSES:
            return
        if all(task.is_done for _, task in iter_tasks(job)):
            job.status, job.ended_ms = JobStatus.COMPLETED, now_ms

    def _tasks_as_one(self, key: TaskKey) -> list[TaskRecord]:
        """Return the task of a key, or all tasks of its gang."""
        tasks = self.by_id[key.job_id].tasks[key.occurrence][key.step]
        return tasks if self.step(key).is_gang else [tasks[key.index]]


def _new_tasks(command: SubmitJob) -> list[list[list[TaskRecord]]]:
    spec = command.spec
    n_occurrences = spec.repetition.count if spec.repetition else 1
    return [
        [[TaskRecord() for _ in range(step.n_tasks)] for step in spec.steps]
        for _ in range(n_occurrences)
    ]
