"""Errors of the experiments package."""

from ..exceptions import RedwingslipError

__all__ = ["ExperimentError", "ExperimentFileError"]


class ExperimentError(RedwingslipError):
    """An experiment can't be run."""


class ExperimentFileError(ExperimentError):
    """The file of an experiment is missing or malformed."""
