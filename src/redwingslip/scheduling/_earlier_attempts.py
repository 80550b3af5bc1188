"""What earlier attempts of repeated calls have changed in the state."""

from ..jobs import JobRecord, JobsState, JobStatus

__all__ = ["EarlierAttempts"]


class EarlierAttempts:
    """Finds the effects of attempts whose answers were lost.

    The answers are exact while the replica leads and no attempt of the call is in
    progress: the state then has all commands of earlier terms that will ever be
    committed.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    """

    __slots__ = ("_state",)

    def __init__(self, state: JobsState) -> None:
        self._state = state

    def submitted_job(self, job_id: str, call_id: int) -> JobRecord | None:
        """Return the job with this id if the call has submitted it, else None."""
        job = self._state.jobs.get(job_id)
        is_own = job is not None and job.submit_call_id == call_id != 0
        return job if is_own else None

    def cancelled_job(self, job_id: str, call_id: int) -> JobRecord | None:
        """Return the job with this id if the call has cancelled it, else None."""
        job = self._state.jobs.get(job_id)
        is_own = job is not None and job.cancel_call_id == call_id != 0
        return job if is_own else None

    def may_have_submitted(self, job_id: str, call_id: int) -> bool:
        """Return whether the call may have submitted the job with this id.

        It is not known who submitted a job that an earlier version has stored.
        """
        job = self._state.jobs.get(job_id)
        return job is not None and job.submit_call_id in (0, call_id)

    def may_have_cancelled(self, job_id: str, call_id: int) -> bool:
        """Return whether the call may have cancelled the job with this id.

        It is not known who cancelled a job before it arrived.
        """
        job = self._state.jobs.get(job_id)
        if job is not None and job.status is JobStatus.CANCELLED:
            return job.cancel_call_id in (0, call_id)
        return any(
            cancelled_id == job_id for cancelled_id, _ in self._state.early_cancels
        )

    def may_have_reported(self, vm_id: str, born_ms: int) -> bool:
        """Return whether a report of an incarnation may have been stored."""
        vm = self._state.vms.get(vm_id)
        return vm is not None and vm.born_ms == born_ms

    def may_have_evacuated(self, data_centre: str) -> bool:
        """Return whether the start of an evacuation may have been stored."""
        return self._state.evacuations.includes(data_centre)
