"""Checks that involve more than one option, and warnings about unsafe settings."""

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import msgspec

from ._sections import (
    EntrySettings,
    ExporterKind,
    LeaseSettings,
    MetricsSettings,
    PeersSettings,
    ReplicaSettings,
    TlsSettings,
)
from ._units import format_duration
from .exceptions import SettingsError

__all__ = ["find_problems", "find_warnings"]


@singledispatch
def find_problems(cfg: Any, section: str) -> Iterator[SettingsError]:
    """Yield the problems that the checks of single options do not find.

    A package that defines its own settings registers a function for their type.

    Parameters
    ----------
    cfg : msgspec.Struct
        One section, or all settings of a process.
    section : str
        Name of the section; empty for all settings of a process.
    """
    yield from ()


@find_problems.register
def _(cfg: LeaseSettings, section: str) -> Iterator[SettingsError]:
    if cfg.margin >= cfg.duration:
        yield SettingsError(
            section=section,
            option="margin",
            value=format_duration(cfg.margin),
            allowed=f"less than the duration of {format_duration(cfg.duration)}",
        )
    if cfg.renewal * 2 > cfg.duration:
        yield SettingsError(
            section=section,
            option="renewal",
            value=format_duration(cfg.renewal),
            allowed="at most half of the duration, so that one renewal may be lost",
        )


@find_problems.register
def _(cfg: TlsSettings, section: str) -> Iterator[SettingsError]:
    if not cfg.enabled:
        return
    for option in ("certificate", "key", "authority"):
        if getattr(cfg, option) is None:
            yield SettingsError(
                section=section,
                option=option,
                value=None,
                allowed="is needed unless 'enabled = no'",
            )


@find_problems.register
def _(cfg: MetricsSettings, section: str) -> Iterator[SettingsError]:
    if cfg.exporter is ExporterKind.PROMETHEUS and cfg.listen is None:
        yield SettingsError(
            section=section,
            option="listen",
            value=None,
            allowed="is needed with 'exporter = prometheus'",
        )
    if cfg.exporter is ExporterKind.JSON_FILE and cfg.path is None:
        yield SettingsError(
            section=section,
            option="path",
            value=None,
            allowed="is needed with 'exporter = json-file'",
        )


@find_problems.register
def _(cfg: PeersSettings, section: str) -> Iterator[SettingsError]:
    if _is_wildcard(cfg.listen):
        yield SettingsError(
            section=section,
            option="listen",
            value=cfg.listen,
            allowed="the IP address that the other processes connect to",
        )


@find_problems.register
def _(cfg: ReplicaSettings, section: str) -> Iterator[SettingsError]:
    yield from _find_shared_addresses(cfg)
    address = cfg.replicas.get(cfg.process.id)
    if address is None:
        yield SettingsError(
            section="process",
            option="id",
            value=cfg.process.id,
            allowed="a replica's id must be listed in [replicas]",
        )
    elif address != cfg.peers.listen:
        yield SettingsError(
            section="peers",
            option="listen",
            value=cfg.peers.listen,
            allowed=f"{address}, which is this replica's address in [replicas]",
        )


@find_problems.register
def _(cfg: EntrySettings, section: str) -> Iterator[SettingsError]:
    yield from _find_shared_addresses(cfg)
    if cfg.process.id in cfg.replicas:
        yield SettingsError(
            section="process",
            option="id",
            value=cfg.process.id,
            allowed="an id that is not listed in [replicas]",
        )


def _find_shared_addresses(cfg: msgspec.Struct) -> Iterator[SettingsError]:
    """Yield a problem for each replica that shares an address with another."""
    id_by_address: dict[str, str] = {}
    for replica_id, address in cfg.replicas.items():
        first_id = id_by_address.setdefault(address, replica_id)
        if first_id != replica_id:
            yield SettingsError(
                section="replicas",
                option=replica_id,
                value=address,
                allowed=f"a unique address; {first_id} already has this one",
            )


def _is_wildcard(address: str) -> bool:
    return address.rpartition(":")[0] in ("0.0.0.0", "[::]")


def find_warnings(cfg: EntrySettings | ReplicaSettings) -> tuple[str, ...]:
    """Return a message for the log about each setting that is valid but unsafe."""
    warnings = []
    if not cfg.tls.enabled:
        warnings.append("[tls] enabled = no: connections are not encrypted")
    if cfg.replicas and len(cfg.replicas) < 3:
        warnings.append(
            f"[replicas] lists {len(cfg.replicas)}: with fewer than 3, none may fail"
        )
    if isinstance(cfg, EntrySettings) and _is_wildcard(cfg.http.listen):
        warnings.append(
            "[http] listen is a wildcard address: the Location of an asynchronous "
            "request can't be reached"
        )
    return tuple(warnings)
