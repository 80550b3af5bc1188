"""A bound on the answers that any order of an arrival list can give in time.

Within an interval, the requests that arrive and are due in it can't use more than
its slot-seconds; the most that fit are the shortest ones. What does not fit is lost,
and the losses of intervals that do not overlap add up.
"""

from bisect import insort

from ._arrivals import Arrival

__all__ = ["max_timely_answers"]

STEP_SECONDS = 1.0
LONGEST_INTERVAL_STEPS = 40


def max_timely_answers(arrivals: list[Arrival], n_slots: int) -> int:
    """Return a number of timely answers that no order can exceed."""
    if not arrivals:
        return 0
    latest = max(_due(arrival) for arrival in arrivals)
    n_steps = int(latest / STEP_SECONDS) + 1
    starting = _by_step(arrivals, n_steps)
    lost = [0] * (n_steps + 2)
    losses = _interval_losses(starting, n_steps, n_slots)
    for end in range(1, n_steps + 1):
        lost[end] = lost[end - 1]
        for begin, loss in losses.get(end, ()):
            lost[end] = max(lost[end], lost[begin] + loss)
    return len(arrivals) - lost[n_steps]


def _due(arrival: Arrival) -> float:
    return (arrival.at + arrival.deadline).total_seconds()


def _by_step(arrivals: list[Arrival], n_steps: int) -> list[list[Arrival]]:
    """Group arrivals by the first step that begins before them."""
    steps: list[list[Arrival]] = [[] for _ in range(n_steps + 1)]
    for arrival in arrivals:
        steps[int(arrival.at.total_seconds() / STEP_SECONDS)].append(arrival)
    return steps


def _interval_losses(
    starting: list[list[Arrival]], n_steps: int, n_slots: int
) -> dict[int, list[tuple[int, int]]]:
    """Return for each end the beginnings of intervals with what is lost in them."""
    losses: dict[int, list[tuple[int, int]]] = {}
    for begin in range(n_steps):
        last = min(begin + LONGEST_INTERVAL_STEPS, n_steps)
        ending: dict[int, list[float]] = {}
        for step in range(begin, last):
            for arrival in starting[step]:
                end = int(-(-_due(arrival) // STEP_SECONDS))
                ending.setdefault(end, []).append(arrival.run.total_seconds())
        runs: list[float] = []
        for end in range(begin + 1, last + 1):
            for run in ending.get(end, ()):
                insort(runs, run)
            capacity = (end - begin) * STEP_SECONDS * n_slots
            loss = _n_unfit(runs, capacity)
            if loss:
                losses.setdefault(end, []).append((begin, loss))
    return losses


def _n_unfit(sorted_runs: list[float], capacity: float) -> int:
    """Return how many of the runs do not fit, the longest left out."""
    total = sum(sorted_runs)
    n_unfit = 0
    for run in reversed(sorted_runs):
        if total <= capacity:
            break
        total -= run
        n_unfit += 1
    return n_unfit
