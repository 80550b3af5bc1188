"""Adds the reserves that follow from the forecast to the loads of the pools."""

import math
from typing import NamedTuple

from msgspec.structs import replace

from ._forecast import DemandForecast, PoolForecast
from ._pool_load import PoolLoad

__all__ = ["ForecastLoad", "with_reserves"]


class ForecastLoad(NamedTuple):
    """The load of a pool with its reserve, and the forecast that it follows from."""

    load: PoolLoad
    forecast: PoolForecast


def with_reserves(
    loads: tuple[PoolLoad, ...], forecast: DemandForecast, now_ms: int
) -> tuple[ForecastLoad, ...]:
    """Return the loads of the pools with their reserves.

    The demand of a pool whose rise is under way becomes the one that the rise is
    heading for. Machines that a rise predicted soon will need count as not rested.

    Parameters
    ----------
    loads : tuple of PoolLoad
        The load of each pool, without reserves.
    forecast : DemandForecast
        The forecast of the demand.
    now_ms : int
        Unix time.
    """
    planned = []
    for load in loads:
        pool_forecast = PoolForecast()
        if not load.is_standby:
            pool_forecast = forecast.pool_forecast(load.pool, now_ms)
            load = _with_reserve(load, pool_forecast, forecast, now_ms)
        planned.append(ForecastLoad(load, pool_forecast))
    n_kept_on = _n_needed_soon(planned, forecast, now_ms)
    kept = []
    for load, pool_forecast in planned:
        # The machines idle for the longest time are switched off first.
        n_resting = max(0, len(load.resting) - n_kept_on)
        n_kept_on -= len(load.resting) - n_resting
        load = replace(load, resting=load.resting[:n_resting])
        kept.append(ForecastLoad(load, pool_forecast))
    return tuple(kept)


def _with_reserve(
    load: PoolLoad, pool_forecast: PoolForecast, forecast: DemandForecast, now_ms: int
) -> PoolLoad:
    heading = load.non_preemptible + int(pool_forecast.heading)
    load = replace(load, expected=max(load.expected, heading))
    used = load.used - load.non_preemptible
    expected = max(0, load.expected - load.non_preemptible)
    demand = max(used + load.waiting - load.waiting_long_running, expected)
    firm = forecast.firm_demand(pool_forecast, expected)
    if firm is not None:
        firm += load.non_preemptible + load.waiting_long_running
    return replace(
        load,
        reserve=forecast.standing_reserve(pool_forecast, demand),
        imminent=forecast.imminent_reserve(pool_forecast, demand, now_ms),
        firm=firm,
        is_initial=pool_forecast.is_initial,
    )


def _n_needed_soon(
    planned: list[ForecastLoad], forecast: DemandForecast, now_ms: int
) -> int:
    """Return how many idle machines the rises that are predicted soon will need.

    Machines that are switched off go first.
    """
    n_needed = 0
    for load, pool_forecast in planned:
        if load.is_standby:
            n_needed -= len(load.idle)
        elif load.vm_room and forecast.is_rise_near(pool_forecast, now_ms):
            missing = load.non_preemptible + pool_forecast.rise_level - load.room
            n_needed += max(0, math.ceil(missing / load.vm_room))
    return max(0, n_needed)
