"""The specification of an experiment, read from an INI file."""

import configparser
import pathlib
from datetime import timedelta

import msgspec

from .exceptions import ExperimentFileError

__all__ = ["CustomerSpec", "ExperimentSpec", "WorkSpec", "read_experiment"]


class CustomerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A customer.

    Attributes
    ----------
    name : str
        Name of the customer's team.
    share : float
        Share of the team.
    demand : float
        Relative number of the team's requests.
    """

    name: str
    share: float
    demand: float


class WorkSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of work.

    Attributes
    ----------
    part : float
        Relative number of its requests.
    mean_run_s : float
        Mean run time in seconds.
    shape : float
        Standard deviation of the logarithm of the run time.
    deadline_s : float
        Time that its callers wait, in seconds.
    """

    name: str
    part: float
    mean_run_s: float
    shape: float
    deadline_s: float
    urgent: bool


class ExperimentSpec(msgspec.Struct, frozen=True, kw_only=True):
    """An experiment on one pool.

    Attributes
    ----------
    n_workers : int
        Number of VMs of the pool.
    n_slots : int
        Number of slots of each VM.
    utilisation : float
        Mean demand as a fraction of the pool's capacity.
    peak_factor : float
        Demand in a peak, as a multiple of the mean.
    trough_factor : float
        Demand between peaks, as a multiple of the mean.
    peak_s : float
        Length of a peak in seconds.
    duration_s : float
        Length of the arrival list in seconds.
    declared_error : float
        Standard deviation of the logarithm of the factor between declared and actual
        run times.
    """

    site: str
    n_workers: int
    n_slots: int
    utilisation: float
    peak_factor: float
    trough_factor: float
    peak_s: float
    duration_s: float
    declared_error: float
    seed: int
    customers: tuple[CustomerSpec, ...]
    work: tuple[WorkSpec, ...]

    @property
    def n_slots_total(self) -> int:
        """Number of slots of the pool."""
        return self.n_workers * self.n_slots

    @property
    def period(self) -> timedelta:
        """Time between the starts of two peaks, which makes the mean factor 1."""
        part = (1 - self.trough_factor) / (self.peak_factor - self.trough_factor)
        return timedelta(seconds=self.peak_s / part)


def read_experiment(path: pathlib.Path) -> ExperimentSpec:
    """Read an experiment from an INI file.

    Raises
    ------
    ExperimentFileError
        The file can't be read, or an option in it is missing or malformed.
    """
    parser = configparser.ConfigParser()
    try:
        with path.open() as file:
            parser.read_file(file)
        return _convert(parser)
    except (OSError, configparser.Error, KeyError, msgspec.ValidationError) as exc:
        raise ExperimentFileError(f"{path}: {exc}") from exc


def _convert(parser: configparser.ConfigParser) -> ExperimentSpec:
    customers = [
        _read_named_section(parser, name, "customer ") for name in parser.sections()
    ]
    work = [_read_named_section(parser, name, "work ") for name in parser.sections()]
    fields = dict(parser["experiment"])
    fields["customers"] = [section for section in customers if section]
    fields["work"] = [section for section in work if section]
    return msgspec.convert(fields, ExperimentSpec, strict=False)


def _read_named_section(
    parser: configparser.ConfigParser, section: str, prefix: str
) -> dict[str, str]:
    """Return a section with its name after the prefix; empty for other sections."""
    if not section.startswith(prefix):
        return {}
    return {"name": section.removeprefix(prefix), **parser[section]}
