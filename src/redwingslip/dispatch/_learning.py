"""Learned run times.

Declared run times are far from the real ones. A moving mean and a moving mean
deviation of the observed run times replace them after the first run.
"""

from datetime import timedelta

__all__ = ["RunTimes"]

SMOOTHING_FACTOR = 0.125
DEFAULT_RUN_SECONDS = 0.5

TeamAndQueue = tuple[str, str]


class _Estimate:
    """Moving mean and mean deviation of the run times of one team and queue."""

    __slots__ = ("deviation", "mean", "n_runs")

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = seconds / 2
        self.n_runs = 1

    def add(self, seconds: float) -> None:
        """Update the estimate with one run."""
        error = seconds - self.mean
        self.mean += SMOOTHING_FACTOR * error
        self.deviation += SMOOTHING_FACTOR * (abs(error) - self.deviation)
        self.n_runs += 1


class RunTimes:
    """Run times learned for each team and queue."""

    __slots__ = ("_estimates", "_n_learning")

    def __init__(self, *, n_learning: int) -> None:
        self._n_learning = n_learning
        self._estimates: dict[TeamAndQueue, _Estimate] = {}

    def add(self, team: str, queue: str, run_time: timedelta) -> None:
        """Record the run time of one completed run."""
        seconds = run_time.total_seconds()
        estimate = self._estimates.get((team, queue))
        if estimate is None:
            self._estimates[team, queue] = _Estimate(seconds)
        else:
            estimate.add(seconds)

    def expected_seconds(
        self, team: str, queue: str, declared: timedelta | None
    ) -> float:
        """Return the expected run time in seconds.

        It is the learned mean, otherwise the declared run time, otherwise a default.
        """
        estimate = self._estimates.get((team, queue))
        if estimate is not None:
            return estimate.mean
        if declared is not None:
            return declared.total_seconds()
        return DEFAULT_RUN_SECONDS

    def mean_seconds(self, team: str, queue: str) -> float:
        """Return the mean run time in seconds; 0 until enough runs are known."""
        estimate = self._estimates.get((team, queue))
        if estimate is None or estimate.n_runs < self._n_learning:
            return 0.0
        return estimate.mean

    def shortest_seconds(self, team: str, queue: str) -> float:
        """Return a run time that few runs stay below, in seconds.

        It is 0 until enough runs are known.
        """
        estimate = self._estimates.get((team, queue))
        if estimate is None or estimate.n_runs < self._n_learning:
            return 0.0
        return max(estimate.mean - 2 * estimate.deviation, 0.0)

    def forget(self, known_queues: set[str]) -> None:
        """Remove the estimates of queues that no longer exist."""
        self._estimates = {
            key: value
            for key, value in self._estimates.items()
            if key[1] in known_queues
        }
