"""The measures of an experiment."""

from datetime import timedelta

import msgspec

__all__ = ["Measures", "Window", "nearness", "percentile"]


class Window(msgspec.Struct, kw_only=True):
    """What happened in a stretch of time.

    Attributes
    ----------
    got : dict
        Slot-seconds by team.
    n_not_full : int
        Times at which a slot was idle.
    never_short : set
        Teams that had nothing waiting at some time, and were refused nothing.
    """

    got: dict[str, float] = msgspec.field(default_factory=dict)
    n_samples_not_full: int = 0
    n_samples: int = 0
    satisfied: set[str] = msgspec.field(default_factory=set)
    refused: set[str] = msgspec.field(default_factory=set)


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one policy on one arrival list.

    Attributes
    ----------
    n_timely : int
        Whole answers within the caller's deadline.
    n_bound : int
        What no order can exceed.
    share_nearness : float or None
        Over the windows in which all slots are in use, None when there is none.
    buffer_cost : float
        Idle slot-seconds as a part of all.
    wait_s : dict
        Time from arrival to start, by percentile, of the requests that were started.
    n_wasted : int
        Runs that ended after their deadline.
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
    """Return a percentile of unsorted values, 0 when there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) * number // 100, len(ordered) - 1)]


def nearness(windows: list[Window], shares: dict[str, float]) -> float | None:
    """Return how close the teams came to their shares: 1 is exact.

    A team is entitled to its share of what all got; one that lacked nothing in a
    window is entitled to no more than it got, and the rest is divided again.
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
    """Divide what was got by share, up to what each team asked for."""
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
