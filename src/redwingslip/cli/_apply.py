"""Bringing the fleet's resources to what files say."""

import asyncio
import enum
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ..fleet import Kind
from ._client import Document, OperatorClient
from ._documents import changed_fields, in_order
from .exceptions import CommandError, ExitCode, UnknownOutcomeError

__all__ = [
    "ApplyAction",
    "ApplyResult",
    "Difference",
    "apply_documents",
    "compare_documents",
]

N_PARALLEL = 8

_SERVERS_GONE = (ExitCode.NOT_REACHED, ExitCode.UNKNOWN_OUTCOME)


class ApplyAction(enum.StrEnum):
    """What became of one resource."""

    CREATED = "created"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one resource, and why."""

    kind: Kind
    name: str
    action: ApplyAction
    version: int = 0
    error: str = ""
    exit_code: int = ExitCode.OK


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """A field that is not as wished; a resource to be made has the field ''."""

    kind: Kind
    name: str
    field: str = ""
    current: Any = None
    wanted: Any = None


async def compare_documents(
    client: OperatorClient, documents: Sequence[Document]
) -> list[Difference]:
    """Return what differs between the fleet and the documents."""
    differences = []
    for group in in_order(documents):
        current = await _current(client, group[0].kind)
        for document in group:
            differences += _differences(document, current.get(document.name))
    return differences


def _differences(document: Document, current: Document | None) -> list[Difference]:
    kind, name = document.kind, document.name
    if current is None:
        return [Difference(kind=kind, name=name, wanted=document.spec)]
    return [
        Difference(kind=kind, name=name, field=field, current=old, wanted=new)
        for field, (old, new) in changed_fields(current.spec, document.spec).items()
    ]


async def apply_documents(
    client: OperatorClient,
    documents: Sequence[Document],
    *,
    on_done: Callable[[int], object] = lambda n_documents: None,
) -> list[ApplyResult]:
    """Write the documents that differ from the fleet, and say what became of each.

    A document that is not as wished is written on the version that was read, so that
    another operator's change in between is not lost.

    Raises
    ------
    UnknownOutcomeError
        No server answers any more; what is left was not tried.
    """
    results = []
    for group in in_order(documents):
        current = await _current(client, group[0].kind)
        for start in range(0, len(group), N_PARALLEL):
            batch = group[start : start + N_PARALLEL]
            works = (_apply_one(client, doc, current.get(doc.name)) for doc in batch)
            results += await asyncio.gather(*works)
            on_done(len(batch))
            _check_reached(results)
    return results


def _check_reached(results: Sequence[ApplyResult]) -> None:
    """Raise when the servers are gone, in place of trying every other document."""
    lost = [result for result in results if result.exit_code in _SERVERS_GONE]
    if lost:
        n_done = len(results) - len(lost)
        raise UnknownOutcomeError(
            f"stopped after {n_done} resources, {lost[0].kind}/{lost[0].name}: "
            f"{lost[0].error}; repeat the command, which writes only what differs"
        )


async def _current(client: OperatorClient, kind: Kind) -> dict[str, Document]:
    listing = await client.list(kind)
    return {document.name: document for document in listing.items}


async def _apply_one(
    client: OperatorClient, document: Document, current: Document | None
) -> ApplyResult:
    kind, name = document.kind, document.name
    if current is not None and not changed_fields(current.spec, document.spec):
        return ApplyResult(
            kind=kind,
            name=name,
            action=ApplyAction.UNCHANGED,
            version=current.version or 0,
        )
    if_version = document.version
    if if_version is None:
        if_version = 0 if current is None else current.version
    try:
        written = await client.put(document, if_version=if_version)
    except CommandError as exc:
        return ApplyResult(
            kind=kind,
            name=name,
            action=ApplyAction.FAILED,
            error=str(exc),
            exit_code=exc.exit_code,
        )
    action = ApplyAction.CREATED if current is None else ApplyAction.CHANGED
    return ApplyResult(
        kind=kind, name=name, action=action, version=written.version or 0
    )
