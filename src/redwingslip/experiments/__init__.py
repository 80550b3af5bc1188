"""Experiments: policies compared on the same arrivals, without nodes or network."""

from ._arrivals import Arrival, record_arrivals
from ._bound import most_timely
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
    "most_timely",
    "nearness",
    "read_experiment",
    "record_arrivals",
    "run_experiment",
]
