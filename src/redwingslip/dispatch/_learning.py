"""Learned run times.

Declared run times are far off, so a moving mean and mean deviation of what was seen
take their place as soon as there are some.
"""

from datetime import timedelta

__all__ = ["RunTimes"]

GAIN = 0.125
DEFAULT_RUN_SECONDS = 0.5

Key = tuple[str, str]


class _Estimate:
    """Moving mean and mean deviation of the run times of one kind of work."""

    __slots__ = ("deviation", "mean", "n_seen")

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = seconds / 2
        self.n_seen = 1

    def add(self, seconds: float) -> None:
        """Take one run into account."""
        error = seconds - self.mean
        self.mean += GAIN * error
        self.deviation += GAIN * (abs(error) - self.deviation)
        self.n_seen += 1


class RunTimes:
    """Run times learned for each team and queue."""

    __slots__ = ("_estimates", "_n_learning")

    def __init__(self, *, n_learning: int) -> None:
        self._n_learning = n_learning
        self._estimates: dict[Key, _Estimate] = {}

    def add(self, team: str, queue: str, run_time: timedelta) -> None:
        """Take one completed run into account."""
        seconds = run_time.total_seconds()
        estimate = self._estimates.get((team, queue))
        if estimate is None:
            self._estimates[team, queue] = _Estimate(seconds)
        else:
            estimate.add(seconds)

    def expected(self, team: str, queue: str, declared: timedelta | None) -> float:
        """Return the expected run time in seconds."""
        estimate = self._estimates.get((team, queue))
        if estimate is not None:
            return estimate.mean
        if declared is not None:
            return declared.total_seconds()
        return DEFAULT_RUN_SECONDS

    def likely(self, team: str, queue: str) -> float:
        """Return the mean run time in seconds; 0 if not learned."""
        estimate = self._estimates.get((team, queue))
        if estimate is None or estimate.n_seen < self._n_learning:
            return 0.0
        return estimate.mean

    def shortest(self, team: str, queue: str) -> float:
        """Return a run time in seconds that few runs stay below; 0 if not learned."""
        estimate = self._estimates.get((team, queue))
        if estimate is None or estimate.n_seen < self._n_learning:
            return 0.0
        return max(estimate.mean - 2 * estimate.deviation, 0.0)

    def forget(self, known_queues: set[str]) -> None:
        """Drop what was learned of queues that are gone."""
        self._estimates = {
            key: value
            for key, value in self._estimates.items()
            if key[1] in known_queues
        }
