"""Gangs of which some members run and others do not."""

from ..jobs import JobsState, TaskKey

__all__ = ["is_gang_incomplete"]


def is_gang_incomplete(state: JobsState, key: TaskKey, number: int) -> bool:
    """Return whether a member of a gang's run has ended or was not started.

    The others of this run can't work any more, or never will. The start of a member is
    ignored if its VM has been replaced since it was placed.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    key : TaskKey
        A member of the gang.
    number : int
        Run number, which the members share.
    """
    job = state.jobs.get(key.job_id)
    if job is None or not job.spec.steps[key.step].is_gang:
        return False
    members = job.tasks[key.occurrence][key.step]
    return not all(any(run.number == number for run in m.runs) for m in members)
