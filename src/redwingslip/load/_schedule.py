"""Arrivals, decided by a seed before the first request is sent."""

import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ._settings import CustomerSettings, LoadSection

__all__ = ["Arrival", "Cancellation", "schedule"]

DECLARATION_ERROR_FACTORS = (0.1, 10.0)


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request and when it is handed in.

    Attributes
    ----------
    number : int
        Tells it from the others; it is part of the body.
    at : timedelta
        Time from the beginning of the load.
    expected_run : timedelta
        What the caller declares, which may be far from `run_time`.
    """

    number: int
    at: timedelta
    queue: str
    team: str
    run_time: timedelta
    expected_run: timedelta
    idempotent: bool


class Cancellation(msgspec.Struct, frozen=True, kw_only=True):
    """A wave of cancellations.

    Attributes
    ----------
    at : timedelta
        Time from the beginning of the load.
    seed : int
        Decides which of the open requests are cancelled.
    """

    at: timedelta
    seed: int


def schedule(
    cfg: LoadSection, queues: dict[str, float], customers: Sequence[CustomerSettings]
) -> tuple[list[Arrival], list[Cancellation]]:
    """Return the arrivals and the cancellations, in order of their times.

    Parameters
    ----------
    cfg : LoadSection
        What is asked.
    queues : dict
        Mean rate of each queue, in requests a second.
    customers : sequence of CustomerSettings
        Who asks.
    """
    rng = random.Random(cfg.seed)
    times = []
    for i, queue in enumerate(sorted(queues)):
        offset = i / len(queues)
        times += [(at, queue) for at in _arrival_times(rng, cfg, queues[queue], offset)]
    times.sort()
    arrivals = [
        _draw_arrival(rng, cfg, customers, number, at, queue)
        for number, (at, queue) in enumerate(times[: cfg.max_requests])
    ]
    return arrivals, _cancellations(rng, cfg)


def _arrival_times(
    rng: random.Random, cfg: LoadSection, mean: float, offset: float
) -> list[float]:
    """Return the seconds at which a queue's requests arrive.

    Arrivals at the peak's rate are thinned to the rate of the moment. A period is as
    long as makes the mean of peak and trough 1.
    """
    peak_s = cfg.peak_time.total_seconds()
    peak_fraction = (1 - cfg.trough_factor) / (cfg.peak_factor - cfg.trough_factor)
    period_s = peak_s / peak_fraction
    times = []
    at = rng.expovariate(mean * cfg.peak_factor)
    while at < cfg.duration.total_seconds():
        phase_s = (at + offset * period_s) % period_s
        is_peak = phase_s < peak_s
        if is_peak or rng.random() * cfg.peak_factor < cfg.trough_factor:
            times.append(at)
        at += rng.expovariate(mean * cfg.peak_factor)
    return times


def _draw_arrival(
    rng: random.Random,
    cfg: LoadSection,
    customers: Sequence[CustomerSettings],
    number: int,
    at: float,
    queue: str,
) -> Arrival:
    weights = [customer.weight for customer in customers]
    customer = rng.choices(customers, weights)[0]
    run_time = cfg.run_time * rng.expovariate(1.0)
    is_misdeclared = rng.random() < cfg.wrong_declarations
    factor = rng.choice(DECLARATION_ERROR_FACTORS) if is_misdeclared else 1.0
    return Arrival(
        number=number,
        at=timedelta(seconds=at),
        queue=queue,
        team=customer.team,
        run_time=run_time,
        expected_run=max(run_time * factor, timedelta(milliseconds=1)),
        idempotent=rng.random() >= cfg.non_idempotent,
    )


def _cancellations(rng: random.Random, cfg: LoadSection) -> list[Cancellation]:
    if cfg.cancel_every <= timedelta(0):
        return []
    n_waves = cfg.duration // cfg.cancel_every
    return [
        Cancellation(at=cfg.cancel_every * (i + 1), seed=rng.getrandbits(32))
        for i in range(n_waves)
    ]
