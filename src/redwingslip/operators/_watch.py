"""Streams of changes of resources, as JSON lines."""

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
        Provides the changes.
    kind : Kind
        The kind of resource to report.
    first : tuple of Change
        The changes after `index` that are already available.
    index : int
        Log index after which the watch begins.
    is_stopping : callable
        Returns whether the server is stopping, so that the watch must end.

    Notes
    -----
    The stream ends when the entry stops, or when the changes after the last index are
    no longer available. The operator then sends a new request; the answer to it names
    the current revision.
    """
    changes: tuple[Change, ...] | None = first
    while changes is not None and not is_stopping():
        for name in _changed_names(changes, kind):
            yield _json_line(_watch_event(service, kind, name))
        index = max((change.index for change in changes), default=index)
        yield _json_line(
            {"bookmark": index, "in_force": service.status().in_force_index}
        )
        changes = await service.changes_after(index, IDLE_TIMEOUT)


def _changed_names(changes: tuple[Change, ...], kind: Kind) -> list[str]:
    """Return the distinct names of the changed resources of a kind."""
    resources = (changed_resource(change.row) for change in changes)
    names = [
        resource[1]
        for resource in resources
        if resource is not None and resource[0] is kind
    ]
    return list(dict.fromkeys(names))


def _watch_event(service: FleetService, kind: Kind, name: str) -> dict[str, Any]:
    view: FleetView = service.view
    resource = view.resources[kind].get(name)
    if resource is None:
        return {"deleted": {"kind": kind, "name": name}}
    record = record_of(resource, view, service.status().in_force_index)
    return {"resource": record}


def _json_line(event: dict[str, Any]) -> bytes:
    return msgspec.json.encode(event) + b"\n"


@singledispatch
def changed_resource(row) -> tuple[Kind, str] | None:
    """Return the kind and name of the resource that a changed row belongs to."""
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
