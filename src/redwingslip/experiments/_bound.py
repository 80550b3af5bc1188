"""A bound on the answers that any order of an arrival list can give in time.

Within an interval, the requests that arrive and are due in it can't use more than
its slot-seconds; the most that fit are the shortest ones. What does not fit is lost,
and the losses of intervals that do not overlap add up.
"""

from bisect import insort

from ._arrivals import Arrival

__all__ = ["max_timely_answers"]

STEP_S = 1.0
MAX_INTERVAL_STEPS = 40


def max_timely_answers(arrivals: list[Arrival], n_slots: int) -> int:
    """Return a number of timely answers that no order can exceed."""
    if not arrivals:
        return 0
    latest_deadline_s = max(_deadline_s(arrival) for arrival in arrivals)
    n_steps = int(latest_deadline_s / STEP_S) + 1
    arrivals_by_step = _group_by_arrival_step(arrivals, n_steps)
    max_lost = [0] * (n_steps + 2)
    losses = _interval_losses(arrivals_by_step, n_steps, n_slots)
    for end in range(1, n_steps + 1):
        max_lost[end] = max_lost[end - 1]
        for begin, loss in losses.get(end, ()):
            max_lost[end] = max(max_lost[end], max_lost[begin] + loss)
    return len(arrivals) - max_lost[n_steps]


def _deadline_s(arrival: Arrival) -> float:
    return (arrival.at + arrival.deadline).total_seconds()


def _group_by_arrival_step(
    arrivals: list[Arrival], n_steps: int
) -> list[list[Arrival]]:
    """Group arrivals by the first step that begins before them."""
    steps: list[list[Arrival]] = [[] for _ in range(n_steps + 1)]
    for arrival in arrivals:
        steps[int(arrival.at.total_seconds() / STEP_S)].append(arrival)
    return steps


def _interval_losses(
    arrivals_by_step: list[list[Arrival]], n_steps: int, n_slots: int
) -> dict[int, list[tuple[int, int]]]:
    """Return for each end the beginnings of intervals with what is lost in them."""
    losses: dict[int, list[tuple[int, int]]] = {}
    for begin in range(n_steps):
        last = min(begin + MAX_INTERVAL_STEPS, n_steps)
        runs_by_end: dict[int, list[float]] = {}
        for step in range(begin, last):
            for arrival in arrivals_by_step[step]:
                end = int(-(-_deadline_s(arrival) // STEP_S))
                runs_by_end.setdefault(end, []).append(arrival.run.total_seconds())
        runs: list[float] = []
        for end in range(begin + 1, last + 1):
            for run in runs_by_end.get(end, ()):
                insort(runs, run)
            capacity = (end - begin) * STEP_S * n_slots
            loss = _n_not_fitting(runs, capacity)
            if loss:
                losses.setdefault(end, []).append((begin, loss))
    return losses


def _n_not_fitting(sorted_runs: list[float], capacity: float) -> int:
    """Return how many of the runs do not fit, the longest left out."""
    total = sum(sorted_runs)
    n_not_fitting = 0
    for run in reversed(sorted_runs):
        if total <= capacity:
            break
        total -= run
        n_not_fitting += 1
    return n_not_fitting
