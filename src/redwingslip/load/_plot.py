"""Plots the report of a load."""

from pathlib import Path

from ._report import LoadReport
from .exceptions import LoadError

__all__ = ["plot_report"]


def plot_report(report: LoadReport, path: Path | str) -> None:
    """Write a plot of arrivals and answers over time.

    The ending of the path selects the format, such as PNG or SVG.

    Raises
    ------
    LoadError
        matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise LoadError("a plot needs matplotlib: install redwingslip[report]") from exc
    fig = Figure(figsize=(9, 4), layout="constrained")
    ax = fig.subplots()
    ax.step(range(len(report.arrivals_per_second)), report.arrivals_per_second)
    ax.step(range(len(report.answered_per_second)), report.answered_per_second)
    ax.legend(["asked", "answered"])
    ax.set_xlabel("time (s)")
    ax.set_ylabel("requests per second")
    ax.set_title(f"timely answers {report.total.timely:.3f}, seed {report.seed}")
    fig.savefig(path)
