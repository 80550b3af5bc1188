"""A load generator for running entries, and the check of its outcomes."""

from ._caller import new_request_key
from ._outcomes import CallOutcome, OutcomeKind
from ._plot import plot_report
from ._report import LoadReport, QueueReport, format_report
from ._runner import run_load
from ._schedule import Arrival, Cancellation, schedule
from ._settings import CustomerSettings, LoadSection, LoadSettings, load_experiment
from ._verdict import Verdict, check_outcomes, read_runs
from .exceptions import LoadError

__all__ = [
    "Arrival",
    "CallOutcome",
    "Cancellation",
    "CustomerSettings",
    "LoadError",
    "LoadReport",
    "LoadSection",
    "LoadSettings",
    "OutcomeKind",
    "QueueReport",
    "Verdict",
    "check_outcomes",
    "format_report",
    "load_experiment",
    "new_request_key",
    "plot_report",
    "read_runs",
    "run_load",
    "schedule",
]
