"""An upper bound on the timely answers that any order of an arrival list can give.

The requests that arrive in an interval and have their deadline in it can't use more
slot-seconds than the interval has. The largest number of them fits when the longest
ones are left out. Those that do not fit are lost, and the losses of intervals that do
not overlap add up.
"""

from bisect import insort

from ._arrivals import Arrival

__all__ = ["max_timely_answers"]

STEP_S = 1.0
MAX_INTERVAL_STEPS = 40


def max_timely_answers(arrivals: list[Arrival], n_slots: int) -> int:
    """Return a number of timely answers that no order of the requests can exceed.

    Parameters
    ----------
    arrivals : list of Arrival
        The arrival list.
    n_slots : int
        Number of slots of the pool.
    """
    if not arrivals:
        return 0
    latest_deadline_s = max(_deadline_s(arrival) for arrival in arrivals)
    n_steps = int(latest_deadline_s / STEP_S) + 1
    arrivals_by_step = _group_by_arrival_step(arrivals, n_steps)
    # Largest sum of the losses of disjoint intervals that end by each step.
    max_lost = [0] * (n_steps + 2)
    losses = _interval_losses(arrivals_by_step, n_steps, n_slots)
    for end in range(1, n_steps + 1):
        max_lost[end] = max_lost[end - 1]
        for begin, loss in losses.get(end, ()):
            max_lost[end] = max(max_lost[end], max_lost[begin] + loss)
    return len(arrivals) - max_lost[n_steps]


def _deadline_s(arrival: Arrival) -> float:
    """Return the time of a request's deadline, in seconds from the list's start."""
    return (arrival.at + arrival.deadline).total_seconds()


def _group_by_arrival_step(
    arrivals: list[Arrival], n_steps: int
) -> list[list[Arrival]]:
    """Return the arrivals of each step of `STEP_S`."""
    steps: list[list[Arrival]] = [[] for _ in range(n_steps + 1)]
    for arrival in arrivals:
        steps[int(arrival.at.total_seconds() / STEP_S)].append(arrival)
    return steps


def _interval_losses(
    arrivals_by_step: list[list[Arrival]], n_steps: int, n_slots: int
) -> dict[int, list[tuple[int, int]]]:
    """Return the begin and the loss of each interval with a loss, by the end's step.

    An interval is at most `MAX_INTERVAL_STEPS` long.
    """
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
    """Return the number of runs to leave out, longest first, until the rest fits.

    Parameters
    ----------
    sorted_runs : list of float
        Run times in seconds, in ascending order.
    capacity : float
        Available slot-seconds.
    """
    total = sum(sorted_runs)
    n_not_fitting = 0
    for run in reversed(sorted_runs):
        if total <= capacity:
            break
        total -= run
        n_not_fitting += 1
    return n_not_fitting
