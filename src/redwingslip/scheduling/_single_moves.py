"""Moves of tasks, one at a time, of steps without a disruption budget."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..jobs import ActiveRun, JobsState, TaskKey
from ._advice import StepKey

__all__ = ["SingleMoves"]

# A task that is away for longer than this, which is more than a restart takes, may
# never come back, and doesn't keep the others of its step.
MAX_AWAY_TIME = timedelta(seconds=10)


class _Move(msgspec.Struct, frozen=True):
    """The last move of a step: the run that was stopped, and how many others were away.

    Attributes
    ----------
    n_away : int
        Number of other tasks of the step that were unavailable when it was stopped.
    """

    key: TaskKey
    number: int
    n_away: int


class SingleMoves:
    """Decides when the next task of a step without a budget may move.

    Only this leader knows its moves. After a change of leader, the next task may leave
    once the others are at work, or have been away for `MAX_AWAY_TIME`.

    Parameters
    ----------
    state : JobsState
        The replicated state.
    is_at_work : callable
        Returns whether a run, given by its task, number and VM, is at work.
    """

    __slots__ = ("_away_since", "_is_at_work", "_moved", "_state")

    def __init__(
        self, state: JobsState, is_at_work: Callable[[TaskKey, int, str], bool]
    ) -> None:
        self._state = state
        self._is_at_work = is_at_work
        self._moved: dict[StepKey, _Move] = {}
        self._away_since: dict[StepKey, timedelta] = {}

    def note_move(self, run: ActiveRun, n_unavailable: int) -> None:
        """Record that a run is stopped to move its task."""
        self._moved[run.key[:3]] = _Move(run.key, run.number, n_unavailable)

    def may_move(self, step_key: StepKey, n_unavailable: int, now: timedelta) -> bool:
        """Return whether a task may leave with so many others of its step unavailable.

        A task that was moved and has not been at work since keeps the others for good,
        as they might not start either, unless another task has started in its place.
        """
        move = self._moved.get(step_key)
        if move is not None:
            if n_unavailable > move.n_away and self._is_moving(move):
                return False
            del self._moved[step_key]
        if not n_unavailable:
            self._away_since.pop(step_key, None)
            return True
        return now - self._away_since.setdefault(step_key, now) >= MAX_AWAY_TIME

    def forget_jobs(self) -> None:
        """Drop the entries of jobs that were removed from the state."""
        for entries in (self._moved, self._away_since):
            for step_key in [k for k in entries if k[0] not in self._state.jobs]:
                del entries[step_key]

    def _is_moving(self, move: _Move) -> bool:
        """Return whether a task that was moved has not been at work since."""
        task = self._state.task(move.key)
        if task is None or task.is_done:
            return False
        return not any(
            run.number > move.number
            and self._is_at_work(move.key, run.number, run.vm_id)
            for run in task.runs
        )
