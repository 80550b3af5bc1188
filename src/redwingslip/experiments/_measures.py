"""The measures of an experiment, computed from samples of the simulation."""

from datetime import timedelta

import msgspec

__all__ = ["Measures", "Window", "nearness", "percentile"]


class Window(msgspec.Struct, kw_only=True):
    """Samples of a pool over one window of time.

    Attributes
    ----------
    got : dict
        Slot-seconds that each team used.
    n_not_full : int
        Number of samples with an idle slot.
    n_looks : int
        Number of samples.
    satisfied : set
        Teams that had no request waiting in at least one sample.
    refused : set
        Teams that had a request refused, or cancelled at its deadline.
    """

    got: dict[str, float] = msgspec.field(default_factory=dict)
    n_not_full: int = 0
    n_looks: int = 0
    satisfied: set[str] = msgspec.field(default_factory=set)
    refused: set[str] = msgspec.field(default_factory=set)


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one policy on one arrival list.

    Attributes
    ----------
    n_timely : int
        Number of complete answers within the caller's deadline.
    n_bound : int
        Upper bound of `n_timely` for any order of the requests.
    n_wasted : int
        Number of runs that ended after their deadline.
    share_nearness : float or None
        Share nearness over the windows in which all slots are in use; None when there
        is no such window.
    n_full_windows : int
        Number of windows in which all slots are in use.
    buffer_cost : float
        Idle slot-seconds as a fraction of all slot-seconds.
    wait_s : dict
        Percentiles of the time from arrival to start in seconds, over the requests
        that were started.
    longest_batch_wait : timedelta
        Longest time from arrival to start of a request that is not urgent.
    """

    policy: str
    n_requests: int
    n_timely: int
    n_bound: int
    n_refused: int
    n_wasted: int
    share_nearness: float | None
    n_full_windows: int
    buffer_cost: float
    wait_s: dict[int, float]
    longest_batch_wait: timedelta


def percentile(values: list[float], number: int) -> float:
    """Return a percentile of unsorted values, or 0 when there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) * number // 100, len(ordered) - 1)]


def nearness(windows: list[Window], shares: dict[str, float]) -> float | None:
    """Return how close the teams came to their shares: 1 is exact.

    A team is entitled to its share of the slot-seconds that all teams used. A team
    without unmet demand in a window is entitled to no more than it used, and the rest
    is divided among the other teams.
    """
    misallocated_s = 0.0
    total_s = 0.0
    for window in windows:
        entitled = _entitled(window, shares)
        total_s += sum(window.got.values())
        misallocated_s += sum(
            abs(window.got.get(team, 0.0) - entitled[team]) for team in shares
        )
    if not total_s:
        return None
    return 1 - misallocated_s / total_s / 2


def _entitled(window: Window, shares: dict[str, float]) -> dict[str, float]:
    """Divide the used slot-seconds of a window by share, up to each team's demand."""
    remaining = sum(window.got.values())
    entitled = dict.fromkeys(shares, 0.0)
    unsettled = dict(shares)
    while unsettled:
        total = sum(unsettled.values())
        capped = {
            team: window.got.get(team, 0.0)
            for team, share in unsettled.items()
            if team in window.satisfied - window.refused
            and window.got.get(team, 0.0) <= remaining * share / total
        }
        if not capped:
            break
        for team, got in capped.items():
            entitled[team] = got
            remaining -= got
            del unsettled[team]
    total = sum(unsettled.values())
    for team, share in unsettled.items():
        entitled[team] = remaining * share / total
    return entitled
