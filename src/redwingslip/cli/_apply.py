"""Applying the resources of files to the fleet."""

import asyncio
import enum
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ..fleet import Kind
from ._client import Document, OperatorClient
from ._documents import changed_fields, group_in_creation_order
from .exceptions import CommandError, ExitCode, UnknownOutcomeError

__all__ = [
    "ApplyAction",
    "ApplyResult",
    "Difference",
    "apply_documents",
    "compare_documents",
]

N_PARALLEL_WRITES = 8

_UNREACHABLE_EXIT_CODES = (ExitCode.NOT_REACHED, ExitCode.UNKNOWN_OUTCOME)


class ApplyAction(enum.StrEnum):
    """What `apply` did with one resource."""

    CREATED = "created"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome for one resource, with the error if the write failed."""

    kind: Kind
    name: str
    action: ApplyAction
    version: int = 0
    error: str = ""
    exit_code: int = ExitCode.OK


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """A field whose current value is not the desired one.

    A resource that does not exist yet is one difference with an empty field name.
    """

    kind: Kind
    name: str
    field: str = ""
    current: Any = None
    wanted: Any = None


async def compare_documents(
    client: OperatorClient, documents: Sequence[Document]
) -> list[Difference]:
    """Return the differences between the fleet and the documents."""
    differences = []
    for group in group_in_creation_order(documents):
        current = await _list_by_name(client, group[0].kind)
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
    """Write the documents that differ from the fleet, and return each outcome.

    A write is conditional on the version in the document, or else on the version that
    was read before. It fails if another operator has changed the resource since then,
    so that the other change is not overwritten.

    Parameters
    ----------
    client : OperatorClient
        Reads and writes the resources.
    documents : Sequence[Document]
        The desired resources, in any order.
    on_done : Callable
        Called after each batch with its number of documents.

    Raises
    ------
    UnknownOutcomeError
        No server answers any more; the remaining documents were not tried.
    """
    results = []
    for group in group_in_creation_order(documents):
        current = await _list_by_name(client, group[0].kind)
        for start in range(0, len(group), N_PARALLEL_WRITES):
            batch = group[start : start + N_PARALLEL_WRITES]
            writes = (
                _apply_document(client, doc, current.get(doc.name)) for doc in batch
            )
            results += await asyncio.gather(*writes)
            on_done(len(batch))
            _raise_if_unreachable(results)
    return results


def _raise_if_unreachable(results: Sequence[ApplyResult]) -> None:
    """Raise if a write got no answer, so that the remaining ones are not tried."""
    failed = [
        result for result in results if result.exit_code in _UNREACHABLE_EXIT_CODES
    ]
    if failed:
        n_done = len(results) - len(failed)
        raise UnknownOutcomeError(
            f"stopped after {n_done} resources, {failed[0].kind}/{failed[0].name}: "
            f"{failed[0].error}; repeat the command, which writes only what differs"
        )


async def _list_by_name(client: OperatorClient, kind: Kind) -> dict[str, Document]:
    listing = await client.list(kind)
    return {document.name: document for document in listing.items}


async def _apply_document(
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
