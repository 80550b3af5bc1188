"""Measures how close the teams come to their shares and how much capacity is idle."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta

import msgspec

from ._settings import CustomerSettings
from ._verdict import START, RunEvent

__all__ = ["PoolLoad", "ShareReport", "busy_seconds", "share_report", "water_fill"]

# A window is full when at least this fraction of the pool's slot-seconds is used.
FULL_WINDOW_FRACTION = 0.95


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The requests for a pool and the runs on it.

    Attributes
    ----------
    n_slots : int
        Number of slots of the pool.
    runs : list of RunEvent
        Starts and ends of runs from the endpoints' records.
    asked : list of tuple
        Team, begin and end of each request as its caller saw it, in seconds from the
        start of the load.
    """

    n_slots: int
    runs: list[RunEvent]
    asked: list[tuple[str, float, float]]


class ShareReport(msgspec.Struct, frozen=True, kw_only=True):
    """Share nearness over the full windows of all pools, and buffer cost.

    Attributes
    ----------
    nearness : float or None
        1 when every team got exactly what it was entitled to; None when no window was
        full.
    n_windows : int
        Number of full windows, counted for each pool.
    buffer_cost : float or None
        Idle slot-seconds as a fraction of all slot-seconds.
    got, entitled : dict
        Slot-seconds that each team got and was entitled to in the full windows.
    """

    nearness: float | None = None
    n_windows: int = 0
    buffer_cost: float | None = None
    got: dict[str, float] = {}
    entitled: dict[str, float] = {}


def water_fill(
    capacity: float, demand: Mapping[str, float], shares: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity by shares without giving any team more than its demand."""
    got = dict.fromkeys(demand, 0.0)
    open_teams = {team for team, amount in demand.items() if amount > 0}
    remaining = capacity
    while open_teams and remaining > 1e-9:
        unit = remaining / sum(shares[team] for team in open_teams)
        satisfied = {t for t in open_teams if demand[t] - got[t] <= unit * shares[t]}
        for team in satisfied or open_teams:
            allocated = demand[team] - got[team] if satisfied else unit * shares[team]
            got[team] += allocated
            remaining -= allocated
        open_teams = open_teams - satisfied if satisfied else set()
    return got


def busy_seconds(
    intervals: Sequence[tuple[str, float, float]], n_windows: int
) -> list[dict[str, float]]:
    """Return the seconds that each team's intervals cover of each one-second window."""
    windows: list[dict[str, float]] = [defaultdict(float) for _ in range(n_windows)]
    for team, begin, end in intervals:
        for i in range(max(int(begin), 0), min(int(end) + 1, n_windows)):
            windows[i][team] += max(0.0, min(end, i + 1) - max(begin, i))
    return windows


def share_report(
    pools: Sequence[PoolLoad],
    customers: Sequence[CustomerSettings],
    began_at: datetime,
    duration: timedelta,
) -> ShareReport:
    """Compare the slot-seconds that teams got with their entitlement.

    In a full window a team's entitlement is its share of the used slot-seconds of the
    pool, up to its demand in that window and its upper limit.

    Parameters
    ----------
    pools : sequence of PoolLoad
        The pools whose number of slots is known.
    customers : sequence of CustomerSettings
        Shares and limits of the teams.
    began_at : datetime
        Time at which the load began.
    duration : timedelta
        Length of the load; only whole seconds count.
    """
    n_windows = int(duration.total_seconds())
    if not n_windows or not any(pool.runs for pool in pools):
        return ShareReport()
    shares = {customer.team: customer.share for customer in customers}
    limits = {customer.team: customer.limit for customer in customers}
    total_got = dict.fromkeys(shares, 0.0)
    total_entitled = dict.fromkeys(shares, 0.0)
    n_full = 0
    busy_s = 0.0
    total_deviation = 0.0
    for pool in pools:
        got = busy_seconds(_run_intervals(pool.runs, began_at, n_windows), n_windows)
        demand = busy_seconds(pool.asked, n_windows)
        busy_s += sum(sum(window.values()) for window in got)
        for window_got, window_demand in zip(got, demand, strict=True):
            if sum(window_got.values()) < FULL_WINDOW_FRACTION * pool.n_slots:
                continue
            n_full += 1
            capped_demand = {
                team: _cap_demand(window_demand[team], limits[team]) for team in shares
            }
            entitled = water_fill(sum(window_got.values()), capped_demand, shares)
            for team in shares:
                total_got[team] += window_got[team]
                total_entitled[team] += entitled[team]
                total_deviation += abs(window_got[team] - entitled[team])
    n_slots = sum(pool.n_slots for pool in pools)
    return ShareReport(
        nearness=1 - total_deviation / 2 / sum(total_got.values()) if n_full else None,
        n_windows=n_full,
        buffer_cost=max(0.0, 1 - busy_s / (n_slots * n_windows)),
        got=total_got,
        entitled=total_entitled,
    )


def _cap_demand(demand: float, limit: int | None) -> float:
    return demand if limit is None else min(demand, limit)


def _run_intervals(
    runs: Sequence[RunEvent], began_at: datetime, n_windows: int
) -> list[tuple[str, float, float]]:
    """Return team, begin and end of each run, in seconds from the start of the load.

    A run without a recorded end lasts until the last window ends.
    """
    started: dict[str, RunEvent] = {}
    intervals = []
    for run in sorted(runs, key=lambda run: run.time):
        seconds = (run.time - began_at).total_seconds()
        if run.event == START:
            started[run.permit_id] = run
        elif run.permit_id in started:
            begin = (started.pop(run.permit_id).time - began_at).total_seconds()
            intervals.append((run.team, begin, seconds))
    for run in started.values():
        begin = (run.time - began_at).total_seconds()
        intervals.append((run.team, begin, float(n_windows)))
    return intervals
