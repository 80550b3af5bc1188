"""Capacity of a pool over the next seconds, and its division among customers."""

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

__all__ = ["CapacityPlan", "divide_by_weight"]

# Ends of runs within this time of each other count as one, which bounds the number of
# stages of a plan.
RELEASE_STEP_MS = 50.0


class CapacityPlan:
    """The work on waiting tasks that a pool can do by each time.

    Runs are not interrupted, so that their cores are free only after their ends.

    Parameters
    ----------
    stages : iterable of (float, float)
        Milliseconds from now, and the cores that serve from then on in addition to
        those of the earlier stages.
    busy : iterable of (float, float), optional
        The runs in progress: milliseconds until the end, and cores.

    Attributes
    ----------
    cores : float
        Cores that serve now, with those in use.
    """

    __slots__ = ("_afters", "_rates", "_works", "cores")

    def __init__(
        self,
        stages: Iterable[tuple[float, float]],
        busy: Iterable[tuple[float, float]] = (),
    ) -> None:
        self._afters: list[float] = [0.0]
        self._rates: list[float] = [0.0]
        self._works: list[float] = [0.0]
        stages = list(stages)
        self.cores = sum(cores for after, cores in stages if after <= 0)
        releases: dict[float, float] = defaultdict(float)
        for end, cores in busy:
            releases[RELEASE_STEP_MS * math.ceil(end / RELEASE_STEP_MS)] += cores
        stages += _free_stages(self.cores, releases)
        for after, cores in sorted(stages):
            if after > self._afters[-1]:
                passed = after - self._afters[-1]
                self._works.append(self._works[-1] + self._rates[-1] * passed)
                self._rates.append(self._rates[-1])
                self._afters.append(after)
            self._rates[-1] += cores

    def work_by(self, time_ms: float) -> float:
        """Return the work that can be done until a time, in core-ms.

        Parameters
        ----------
        time_ms : float
            Milliseconds from now; there is no work before now.
        """
        if time_ms <= 0:
            return 0.0
        stage = bisect.bisect_right(self._afters, time_ms) - 1
        passed = time_ms - self._afters[stage]
        return self._works[stage] + self._rates[stage] * passed

    def time_for(self, work: float) -> float:
        """Return the milliseconds until an amount of core-ms is done; inf for never."""
        stage = max(0, bisect.bisect_left(self._works, work) - 1)
        while stage < len(self._rates) - 1 and not self._rates[stage]:
            stage += 1
        if work <= 0:
            return 0.0
        if not self._rates[stage]:
            return math.inf
        return self._afters[stage] + (work - self._works[stage]) / self._rates[stage]


def _free_stages(
    cores: float, releases: Mapping[float, float]
) -> list[tuple[float, float]]:
    """Return what runs take from the cores that serve now, and give back later.

    Runs that use more than these cores free none until the excess has ended.
    """
    used = sum(releases.values())
    excess = max(0.0, used - cores)
    stages = [(0.0, excess - used)]
    for after, freed in sorted(releases.items()):
        stages.append((after, max(0.0, freed - excess)))
        excess = max(0.0, excess - freed)
    return stages


def divide_by_weight(
    amount: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Divide an amount among customers by weight, and none gets more than it asks for.

    What a customer leaves of its part goes to the others by their weights.

    Parameters
    ----------
    amount : float
        What is divided.
    demands : mapping of str to float
        What each customer asks for.
    weights : mapping of str to float
        Weights of the customers; 1 for one that is missing.
    """
    parts = {}
    left = amount
    by_ratio = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in demands)
    for name in by_ratio:
        weight = weights.get(name, 1.0)
        parts[name] = min(demands[name], max(0.0, left) * weight / weight_left)
        left -= parts[name]
        weight_left -= weight
    return parts
