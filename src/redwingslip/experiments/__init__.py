"""Simulations that compare dispatch policies on the same arrivals."""

from ._arrivals import Arrival, generate_arrivals
from ._bound import max_timely_answers
from ._measures import Measures, Window, nearness
from ._run import POLICIES, run_experiment
from ._spec import CustomerSpec, ExperimentSpec, WorkSpec, read_experiment
from .exceptions import ExperimentError, ExperimentFileError

__all__ = [
    "POLICIES",
    "Arrival",
    "CustomerSpec",
    "ExperimentError",
    "ExperimentFileError",
    "ExperimentSpec",
    "Measures",
    "Window",
    "WorkSpec",
    "generate_arrivals",
    "max_timely_answers",
    "nearness",
    "read_experiment",
    "run_experiment",
]
