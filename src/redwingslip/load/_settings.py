"""The INI file of a load experiment."""

import ipaddress
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec

from ..settings import Address, Name, SettingsError, find_problems, load_settings
from .exceptions import LoadError

__all__ = ["CustomerSettings", "LoadSection", "LoadSettings", "load_experiment"]

Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class LoadSection(msgspec.Struct, frozen=True, kw_only=True):
    """Number, rate, kind and duration of the requests of a load.

    Attributes
    ----------
    seed : int
        Seed of every arrival, run time, declaration and cancellation.
    duration : timedelta
        Time during which requests arrive.
    max_requests : int
        Maximum number of arrivals; later ones are left out.
    max_open : int
        Maximum number of open requests; an arrival beyond it is not sent and counted
        as not asked.
    peak_factor, trough_factor : float
        Rate of a queue in and between its peaks, as a multiple of its mean rate.
    peak_time : timedelta
        Length of a peak; the queues peak in turn.
    deadline : timedelta
        Time within which an answer is timely; the entry receives it as the wait of the
        request.
    run_time : timedelta
        Mean run time of a request.
    non_idempotent : float
        Fraction of the requests that may run only once.
    wrong_declarations : float
        Fraction of the requests whose declared run time is wrong by a factor of ten.
    cancel_every : timedelta
        Time between two waves of cancellations; zero for none.
    cancelled : float
        Fraction of the open requests that one wave cancels.
    allow_remote : bool
        Whether a load may be run against entries on other machines.
    records : str
        Glob pattern of the endpoints' record files; empty for no check of outcomes.
    """

    seed: int = 1
    duration: timedelta = timedelta(seconds=30)
    max_requests: Count = 100_000
    max_open: Count = 2_000
    peak_factor: Positive = 5.0
    trough_factor: Share = 0.05
    peak_time: timedelta = timedelta(seconds=5)
    deadline: timedelta = timedelta(seconds=5)
    run_time: timedelta = timedelta(milliseconds=50)
    non_idempotent: Share = 0.3
    wrong_declarations: Share = 0.3
    cancel_every: timedelta = timedelta(seconds=10)
    cancelled: Share = 0.1
    allow_remote: bool = False
    records: str = ""


class CustomerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A team that sends requests.

    Attributes
    ----------
    team : str
        Name of the team.
    weight : float
        Relative number of its requests.
    key : str
        Secret of the team's key.
    share : float
        The team's declared share.
    limit : int or None
        The team's declared upper limit of slots; None for none.
    """

    team: str
    weight: float
    key: str
    share: float = 1.0
    limit: int | None = None


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a load experiment.

    Attributes
    ----------
    load : LoadSection
        Settings of the load.
    entries : dict
        Address of each entry by its name.
    queues : dict
        Mean rate of each queue by its name, in requests per second.
    customers : dict
        Relative number of requests of each team by its name.
    keys : dict
        File with the secret of each team's key, by the team's name.
    shares : dict
        Declared share of each team by its name; 1 by default.
    limits : dict
        Upper limit of slots of each team by its name; unlimited by default.
    pools : dict
        Pool of each queue by the queue's name; by default the queue's own name.
    slots : dict
        Number of slots of each pool by its name, for buffer cost and share nearness.
    """

    entries: Annotated[dict[Name, Address], msgspec.Meta(min_length=1)]
    queues: Annotated[dict[Name, Positive], msgspec.Meta(min_length=1)]
    customers: Annotated[dict[Name, Positive], msgspec.Meta(min_length=1)]
    keys: dict[Name, Path]
    shares: dict[Name, Positive] = msgspec.field(default_factory=dict)
    limits: dict[Name, int] = msgspec.field(default_factory=dict)
    pools: dict[Name, Name] = msgspec.field(default_factory=dict)
    slots: dict[Name, Count] = msgspec.field(default_factory=dict)
    load: LoadSection = LoadSection()

    def read_customers(self) -> list[CustomerSettings]:
        """Return the customers with their secrets, read from the key files."""
        return [
            CustomerSettings(
                team=team,
                weight=weight,
                key=_read_secret(self.keys[team]),
                share=self.shares.get(team, 1.0),
                limit=self.limits.get(team),
            )
            for team, weight in sorted(self.customers.items())
        ]


def load_experiment(path: Path | str) -> LoadSettings:
    """Read an experiment file; see `redwingslip.settings.load_settings`."""
    return load_settings(path, LoadSettings)


def _read_secret(path: Path) -> str:
    """Return the content of a key file without surrounding white space."""
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        raise LoadError(f"key file {path} can't be read: {exc.strerror}") from exc


@find_problems.register
def _(cfg: LoadSettings, section: str) -> Iterator[SettingsError]:
    for team in cfg.customers.keys() - cfg.keys.keys():
        yield SettingsError(
            section="keys", option=team, value=None, allowed="is missing"
        )
    if cfg.load.allow_remote:
        return
    for name, address in cfg.entries.items():
        host = address.rpartition(":")[0].strip("[]")
        if not ipaddress.ip_address(host).is_loopback:
            yield SettingsError(
                section="entries",
                option=name,
                value=address,
                allowed="a loopback address, unless allow_remote is set",
            )


@find_problems.register
def _(cfg: LoadSection, section: str) -> Iterator[SettingsError]:
    for option in ("duration", "peak_time", "deadline", "run_time"):
        if getattr(cfg, option) <= timedelta(0):
            yield SettingsError(
                section=section, option=option, value=None, allowed="above zero"
            )
    if not cfg.trough_factor < 1 < cfg.peak_factor:
        yield SettingsError(
            section=section,
            option="peak_factor",
            value=str(cfg.peak_factor),
            allowed="above 1, with a trough_factor below 1",
        )
