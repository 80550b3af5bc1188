"""Run times learned from finished runs, and the detection of runs that are outliers."""

import math
import statistics
from collections import deque
from datetime import timedelta
from typing import NamedTuple

import msgspec

__all__ = ["RunTimeExpectation", "RunTimeModel", "RunTimeSettings", "StepKey"]

MS = timedelta(milliseconds=1)
# Any time that follows from estimates and finished runs is at most this long.
MAX_RUN_TIME = timedelta(days=36_500)
MAX_LOG_MS = math.log(MAX_RUN_TIME / MS)
# Runs of a step say what others of it take once this many, and half of the step, have
# ended elsewhere. The first ones to end are the shortest.
MIN_OF_STEP = 3
# Few runs may agree by chance, and other work on their VMs delays some.
MIN_DEVIATION = 0.25


class RunTimeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the learned run times.

    Attributes
    ----------
    n_samples : int
        Number of finished runs of a queue that are remembered.
    min_samples : int
        Number of finished runs of a queue from which its run times are known.
    min_siblings : int
        Number of finished runs of a step on other VMs from which the run time of the
        step is known.
    prior_weight : float
        Weight of the callers' estimates against the finished runs, as the variance of
        the logarithm of an estimate that is added to the observed variance.
    n_deviations : float
        Number of standard deviations between the expected and the longest usual run
        time of a queue.
    """

    n_samples: int = 64
    min_samples: int = 8
    min_siblings: int = 2
    prior_weight: float = 0.02
    n_deviations: float = 2.0


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunTimeExpectation(NamedTuple):
    """The run time of a run on a VM of normal speed.

    Attributes
    ----------
    log_ms : float
        Logarithm of its median, in ms.
    deviation : float
        Standard deviation of the logarithm of the run time.
    is_of_step : bool
        Whether it comes from runs of the same step, and not from the caller's estimate.
    """

    log_ms: float
    deviation: float
    is_of_step: bool


class _Fit(NamedTuple):
    """A line through the logarithms of run times over those of the estimates."""

    mean_estimate: float
    mean_run_time: float
    slope: float
    deviation: float

    def expected(self, estimate_ms: float) -> float:
        """Return the logarithm of the expected run time."""
        return self.mean_run_time + self.slope * (estimate_ms - self.mean_estimate)


class RunTimeModel:
    """Run times of finished runs, by queue and by step.

    Callers' estimates may be wrong by a large factor. The expected run time of a queue
    is a line fitted to the logarithms of its run times over those of the estimates: its
    slope is near 1 where estimates are good, and near 0 where they say nothing.

    Parameters
    ----------
    cfg : RunTimeSettings
        The settings.
    remote_penalty : float
        How many times as long a run takes outside the rack of its data.
    """

    __slots__ = ("_cfg", "_fits", "_remote_penalty", "_samples", "_siblings")

    def __init__(self, cfg: RunTimeSettings, *, remote_penalty: float = 1.0) -> None:
        self._cfg = cfg
        self._remote_penalty = remote_penalty
        self._samples: dict[str, deque[tuple[float, float]]] = {}
        self._fits: dict[str, _Fit | None] = {}
        self._siblings: dict[str, dict[StepKey, list[tuple[str, timedelta]]]] = {}

    def record(
        self,
        step_key: StepKey,
        *,
        queue: str,
        vm_id: str,
        estimate: timedelta,
        run_time: timedelta,
        is_remote: bool = False,
        speed: float = 1.0,
    ) -> None:
        """Record a run that was carried out completely.

        The run time of a remote run counts as it would be in the rack of its data, and
        that on a slow VM as it would be on a normal one.

        Parameters
        ----------
        step_key : StepKey
            The step that the run belongs to.
        queue : str
            The queue of its job.
        vm_id : str
            The VM that carried it out.
        estimate : timedelta
            The caller's estimate of the run time; zero for none.
        run_time : timedelta
            Time from the start of the run to its end.
        is_remote : bool
            Whether the VM is outside the rack of the run's data.
        speed : float
            Speed of the VM; 1 for a normal one.
        """
        if is_remote:
            run_time /= self._remote_penalty
        run_time *= speed
        steps = self._siblings.setdefault(step_key.job_id, {})
        steps.setdefault(step_key, []).append((vm_id, run_time))
        if estimate > timedelta(0) and run_time > timedelta(0):
            samples = self._samples.setdefault(queue, deque(maxlen=self._cfg.n_samples))
            samples.append((math.log(estimate / MS), math.log(run_time / MS)))
            self._fits.pop(queue, None)

    def forget_job(self, job_id: str) -> None:
        """Drop the run times of the steps of a job."""
        self._siblings.pop(job_id, None)

    def expected(self, queue: str, estimate: timedelta) -> timedelta:
        """Return the run time to expect, the estimate itself while none is known."""
        fit = self._fit(queue)
        if fit is None or estimate <= timedelta(0):
            return estimate
        return _run_time(fit.expected(math.log(estimate / MS)))

    def mean(
        self, queue: str, estimate: timedelta, *, max_correction: float
    ) -> timedelta:
        """Return the mean run time to expect, for sums over many tasks.

        It is above the usual run time of `expected` by what rare long runs add.

        Parameters
        ----------
        queue : str
            The queue of the task's job.
        estimate : timedelta
            The caller's estimate of the run time.
        max_correction : float
            Largest ratio, in either direction, of the mean to the estimate.
        """
        fit = self._fit(queue)
        if fit is None or estimate <= timedelta(0):
            return estimate
        log_estimate = math.log(estimate / MS)
        log_mean = fit.expected(log_estimate) + fit.deviation**2 / 2
        bound = math.log(max_correction)
        correction = min(bound, max(-bound, log_mean - log_estimate))
        return _run_time(log_estimate + correction)

    def deviation(self, queue: str) -> float | None:
        """Return how far the logarithms of a queue's run times are off their line.

        Returns
        -------
        float or None
            Standard deviation; None while too few runs have finished to know.
        """
        fit = self._fit(queue)
        return None if fit is None else fit.deviation

    def expectation(
        self,
        step_key: StepKey,
        *,
        queue: str,
        vm_id: str,
        estimate: timedelta,
        n_tasks: int,
        is_remote: bool = False,
    ) -> RunTimeExpectation | None:
        """Return what is known of a run's time from finished runs, those of a VM aside.

        Parameters
        ----------
        step_key : StepKey
            The step that the run belongs to.
        queue : str
            The queue of its job.
        vm_id : str
            The VM whose own runs of the step don't count.
        estimate : timedelta
            The caller's estimate of the run time; zero for none.
        n_tasks : int
            Number of tasks of the step.
        is_remote : bool
            Whether the VM is outside the rack of the run's data.

        Returns
        -------
        RunTimeExpectation or None
            None if too few runs have finished to know.
        """
        remote = math.log(self._remote_penalty) if is_remote else 0.0
        siblings = self._siblings.get(step_key.job_id, {}).get(step_key, ())
        if len(siblings) >= max(MIN_OF_STEP, n_tasks / 2):
            logs = [
                math.log(run_time / MS)
                for other, run_time in siblings
                if other != vm_id and run_time > timedelta(0)
            ]
            if len(logs) >= max(MIN_OF_STEP, n_tasks / 2):
                spread = statistics.stdev(logs)
                error = math.sqrt(1 + 1 / len(logs))
                deviation = error * max(MIN_DEVIATION, spread)
                median = statistics.median(logs)
                return RunTimeExpectation(median + remote, deviation, True)
        fit = self._fit(queue)
        if fit is None or estimate <= timedelta(0):
            return None
        # The mean and the deviation of few runs are uncertain.
        error = math.sqrt(1 + 2 * self._cfg.min_samples / len(self._samples[queue]))
        return RunTimeExpectation(
            fit.expected(math.log(estimate / MS)) + remote,
            error * max(MIN_DEVIATION, fit.deviation),
            False,
        )

    def longest_usual(
        self, step_key: StepKey, *, queue: str, vm_id: str, estimate: timedelta
    ) -> timedelta | None:
        """Return how long a run on a sound VM takes at most, as a rule.

        It is the median of the finished runs of the same step on other VMs. Before
        there are enough of these, it follows from the finished runs of the queue.

        Returns
        -------
        timedelta or None
            None if too few runs have finished to know.
        """
        siblings = self._siblings.get(step_key.job_id, {}).get(step_key, ())
        elsewhere = [run_time for other, run_time in siblings if other != vm_id]
        if len(elsewhere) >= self._cfg.min_siblings:
            return statistics.median(elsewhere)
        fit = self._fit(queue)
        if fit is None or estimate <= timedelta(0):
            return None
        upper = (
            fit.expected(math.log(estimate / MS))
            + self._cfg.n_deviations * fit.deviation
        )
        return _run_time(upper)

    def _fit(self, queue: str) -> _Fit | None:
        """Return the fitted line of a queue, or None while too few runs finished."""
        if queue not in self._fits:
            samples = self._samples.get(queue, ())
            has_enough = len(samples) >= self._cfg.min_samples
            self._fits[queue] = self._new_fit(samples) if has_enough else None
        return self._fits[queue]

    def _new_fit(self, samples: deque[tuple[float, float]]) -> _Fit:
        n = len(samples)
        mean_x = sum(x for x, _ in samples) / n
        mean_y = sum(y for _, y in samples) / n
        var_x = sum((x - mean_x) ** 2 for x, _ in samples) / n
        cov = sum((x - mean_x) * (y - mean_y) for x, y in samples) / n
        prior = self._cfg.prior_weight
        slope = min(1.0, max(0.0, (cov + prior) / (var_x + prior)))
        residuals = (y - mean_y - slope * (x - mean_x) for x, y in samples)
        deviation = math.sqrt(sum(r * r for r in residuals) / n)
        return _Fit(mean_x, mean_y, slope, deviation)


def _run_time(log_ms: float) -> timedelta:
    """Return the run time with a logarithm, at most `MAX_RUN_TIME`."""
    return MAX_RUN_TIME if log_ms >= MAX_LOG_MS else math.exp(log_ms) * MS
