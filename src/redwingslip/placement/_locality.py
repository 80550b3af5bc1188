"""Decides whether a task waits for a place in the rack of its data, and how long."""

import math
from typing import Annotated, NamedTuple

import msgspec

from ._rack_room import Opening

__all__ = [
    "LocalitySettings",
    "RackWait",
    "RunEstimate",
    "TaskTimes",
    "end_of_wait",
]


class LocalitySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the wait for a place in the rack of a task's data.

    Attributes
    ----------
    remote_penalty : float
        How many times as long a task runs outside the rack of its data, and a
        rack-bound gang on several racks. With 1, no task waits for a rack.
    """

    remote_penalty: Annotated[float, msgspec.Meta(ge=1)] = 1.0


class RunEstimate(NamedTuple):
    """How long a run takes.

    Attributes
    ----------
    run_ms : float
        Median of the run time.
    deviation : float
        Standard deviation of the logarithm of the run time.
    """

    run_ms: float
    deviation: float


class TaskTimes(NamedTuple):
    """What the wait of a task depends on; Unix times in ms.

    Attributes
    ----------
    begun_ms : float
        Since when the task waits for its rack; the present time if it doesn't yet.
    run : RunEstimate
        Its run time in the rack of its data.
    path_ms : float
        Expected duration of the steps that follow on the job's critical path.
    due_ms, expiry_ms : float
        When the job should have ended, and when its result has no more use.
    """

    begun_ms: float
    run: RunEstimate
    path_ms: float
    due_ms: float
    expiry_ms: float

    def lateness(self, end_ms: float) -> int:
        """Return 0 for a job that ends in time, 1 for a late, 2 for a useless one."""
        return (end_ms > self.due_ms) + (end_ms > self.expiry_ms)


class RackWait(NamedTuple):
    """The wait of a task for a place in a rack.

    Attributes
    ----------
    rack : str
        The rack of the data; empty for a gang that any single rack may take.
    begun_ms, until_ms : float
        Unix times since which the task waits, and at which it waits no longer.
    expected_ms : float
        For how much longer the wait is expected to take.
    saved_ms : float
        Run time that the place saves.
    """

    rack: str
    begun_ms: float
    until_ms: float
    expected_ms: float
    saved_ms: float


def end_of_wait(
    times: TaskTimes,
    opening: Opening | None,
    *,
    now_ms: float,
    penalty: float,
    is_contended: bool,
) -> float | None:
    """Return until when a task should wait for an opening, None if it shouldn't.

    The task waits for at most as long as the place saves, from the time at which it
    first could have started elsewhere, so that an estimate that proves wrong at most
    doubles what the remote run would have cost in addition. A remote run also holds
    its place longer; if other tasks wait for that place, it is saved for them too.

    Parameters
    ----------
    times : TaskTimes
        Times of the task.
    opening : Opening or None
        The first place in its rack; None if none is known.
    now_ms : float
        Unix time.
    penalty : float
        See `LocalitySettings.remote_penalty`.
    is_contended : bool
        Whether the tasks that wait need more capacity than the pool has free.

    Returns
    -------
    float or None
        Unix time in ms.
    """
    if opening is None:
        return None
    saved_ms = (penalty - 1) * times.run.run_ms
    until_ms = times.begun_ms + saved_ms * (2 if is_contended else 1)
    if now_ms + opening.at_ms > until_ms:
        return None
    for factor in (1.0, math.exp(times.run.deviation)):
        run_ms = factor * times.run.run_ms
        near_end_ms = now_ms + opening.late_ms + run_ms + times.path_ms
        far_end_ms = now_ms + penalty * run_ms + times.path_ms
        if times.lateness(near_end_ms) > times.lateness(far_end_ms):
            return None
    return until_ms
