"""Generates arrival lists, which are the same for every policy that is compared."""

import math
from datetime import timedelta
from random import Random

import msgspec

from ._spec import CustomerSpec, ExperimentSpec, WorkSpec

__all__ = ["Arrival", "generate_arrivals"]


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request of an arrival list.

    Attributes
    ----------
    at : timedelta
        Time of its arrival, from the start of the list.
    run : timedelta
        Its run time, which only the endpoint knows.
    declared : timedelta
        The run time that its caller declares.
    deadline : timedelta
        Time that its caller waits for the answer.
    """

    number: int
    at: timedelta
    team: str
    queue: str
    urgent: bool
    run: timedelta
    declared: timedelta
    deadline: timedelta


def generate_arrivals(spec: ExperimentSpec) -> list[Arrival]:
    """Return the arrival list of an experiment; the same seed gives the same list.

    Requests arrive independently of each other (a Poisson process), at a rate that
    alternates between peak and trough.
    """
    rng = Random(spec.seed)
    mean_rate = spec.utilisation * spec.n_slots_total / _mean_run_s(spec)
    peak_rate = mean_rate * spec.peak_factor
    arrivals: list[Arrival] = []
    seconds = 0.0
    while True:
        seconds += rng.expovariate(peak_rate)
        if seconds >= spec.duration_s:
            return arrivals
        if rng.random() * peak_rate < mean_rate * _demand_factor(spec, seconds):
            arrivals.append(_draw_arrival(spec, rng, len(arrivals), seconds))


def _mean_run_s(spec: ExperimentSpec) -> float:
    """Return the mean run time over all kinds of work, in seconds."""
    total_parts = sum(work.part for work in spec.work)
    return sum(work.part * work.mean_run_s for work in spec.work) / total_parts


def _demand_factor(spec: ExperimentSpec, seconds: float) -> float:
    """Return the demand at a time as a multiple of the mean demand."""
    since_peak = seconds % spec.period.total_seconds()
    return spec.peak_factor if since_peak < spec.peak_s else spec.trough_factor


def _draw_arrival(
    spec: ExperimentSpec, rng: Random, number: int, seconds: float
) -> Arrival:
    """Draw the customer, work, run time and declared run time of a request."""
    customer: CustomerSpec = rng.choices(
        spec.customers, weights=[customer.demand for customer in spec.customers]
    )[0]
    work: WorkSpec = rng.choices(spec.work, weights=[work.part for work in spec.work])[
        0
    ]
    location = math.log(work.mean_run_s) - work.shape**2 / 2
    run = rng.lognormvariate(location, work.shape)
    declared = run * rng.lognormvariate(0.0, spec.declared_error)
    return Arrival(
        number=number,
        at=timedelta(seconds=seconds),
        team=customer.name,
        queue=work.name,
        urgent=work.urgent,
        run=timedelta(seconds=run),
        declared=timedelta(seconds=declared),
        deadline=timedelta(seconds=work.deadline_s),
    )
