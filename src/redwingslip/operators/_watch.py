"""Watching resources change, as JSON lines."""

from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from functools import singledispatch
from typing import Any

import msgspec

from ..fleet import (
    Change,
    FleetView,
    Kind,
    Removed,
    Resource,
    Table,
    VmRecord,
    WaveRecord,
    kind_of,
)
from ._resources import record_of
from ._service import FleetService

__all__ = ["watch_lines"]

IDLE_TIMEOUT = timedelta(seconds=5)


async def watch_lines(
    service: FleetService,
    kind: Kind,
    first: tuple[Change, ...],
    index: int,
    is_stopping: Callable[[], bool],
) -> AsyncIterator[bytes]:
    """Yield one line for each changed resource, and a bookmark after each batch.

    Parameters
    ----------
    service : FleetService
        Gives the changes.
    kind : Kind
        The only kind that is reported.
    first : tuple of Change
        Changes after `index` that are known already.
    index : int
        Where the watch begins.
    is_stopping : callable
        Tells whether the watch must end.

    Notes
    -----
    The stream ends when the entry stops or can no longer continue from where it
    is; the operator asks again and is then told the current revision.
    """
    changes: tuple[Change, ...] | None = first
    while changes is not None and not is_stopping():
        for name in _names(changes, kind):
            yield _line(_event(service, kind, name))
        index = max((change.index for change in changes), default=index)
        yield _line({"bookmark": index, "in_force": service.status().in_force_index})
        changes = await service.changes_after(index, IDLE_TIMEOUT)


def _names(changes: tuple[Change, ...], kind: Kind) -> list[str]:
    """Return the names of the changed resources of a kind, each once."""
    found = (changed_resource(change.row) for change in changes)
    names = [item[1] for item in found if item is not None and item[0] is kind]
    return list(dict.fromkeys(names))


def _event(service: FleetService, kind: Kind, name: str) -> dict[str, Any]:
    view: FleetView = service.view
    resource = view.resources[kind].get(name)
    if resource is None:
        return {"deleted": {"kind": kind, "name": name}}
    record = record_of(resource, view, service.status().in_force_index)
    return {"resource": record}


def _line(event: dict[str, Any]) -> bytes:
    return msgspec.json.encode(event) + b"\n"


@singledispatch
def changed_resource(row) -> tuple[Kind, str] | None:
    """Return the kind and name of the resource that a row is about, if any."""
    return None


@changed_resource.register
def _(row: Resource) -> tuple[Kind, str] | None:
    return kind_of(row.spec), row.name


@changed_resource.register
def _(row: VmRecord) -> tuple[Kind, str] | None:
    return Kind.VM, row.name


@changed_resource.register
def _(row: WaveRecord) -> tuple[Kind, str] | None:
    return Kind.WAVE, row.name


@changed_resource.register
def _(row: Removed) -> tuple[Kind, str] | None:
    if row.table is not Table.RESOURCES:
        return None
    return Kind(row.key[0]), row.key[1]
