"""Draws the arrivals of a load from a seed, before the first request is sent."""

import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ._settings import CustomerSettings, LoadSection

__all__ = ["Arrival", "Cancellation", "schedule"]

DECLARATION_ERROR_FACTORS = (0.1, 10.0)


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request and the time at which it is sent.

    Attributes
    ----------
    number : int
        Number of the request; as part of the body it makes the body unique.
    at : timedelta
        Time from the start of the load.
    run_time : timedelta
        Time that the run takes at a stand-in.
    expected_run : timedelta
        Run time that the caller declares, which may differ widely from `run_time`.
    idempotent : bool
        Whether the request may run more than once.
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
        Time from the start of the load.
    seed : int
        Seed of the choice of open requests to cancel.
    """

    at: timedelta
    seed: int


def schedule(
    cfg: LoadSection, queues: dict[str, float], customers: Sequence[CustomerSettings]
) -> tuple[list[Arrival], list[Cancellation]]:
    """Return the arrivals and the cancellations, each in order of time.

    Parameters
    ----------
    cfg : LoadSection
        Settings of the load.
    queues : dict
        Mean rate of each queue, in requests per second.
    customers : sequence of CustomerSettings
        Teams that send the requests.
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

    Arrivals are drawn at the peak rate and thinned to the current rate. The period is
    chosen so that the mean factor over peak and trough is 1.

    Parameters
    ----------
    rng : Random
        Source of random numbers.
    cfg : LoadSection
        Settings of the load.
    mean : float
        Mean rate of the queue, in requests per second.
    offset : float
        Phase of the queue's peaks, as a fraction of the period.
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
    """Draw the team, run time, declaration and idempotency of a request."""
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
