"""Resources in files: reading, checking and comparing them."""

import json
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ..fleet import Kind, Resource
from ._client import Document
from .exceptions import InvalidInputError

__all__ = ["changed_fields", "in_order", "read_documents"]

STANDARD_INPUT = Path("-")
SHORTENED = "..."

# What others refer to is written first.
_ORDER = (
    Kind.SITE,
    Kind.POOL,
    Kind.TEAM,
    Kind.VM,
    Kind.KEY,
    Kind.QUEUE,
    Kind.WAVE,
)


class _GivenDocument(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A document as an operator writes it; what was read may be written back."""

    kind: Kind
    name: str
    spec: dict[str, Any] = {}
    version: int | None = None
    status: dict[str, Any] = {}
    in_force: bool = False


def read_documents(paths: Sequence[Path]) -> list[Document]:
    """Read resources from files of JSON: one, a list, or one on each line.

    Raises
    ------
    InvalidInputError
        Names everything that is wrong in all of the files.
    """
    documents: list[Document] = []
    problems: list[str] = []
    for path in paths:
        for place, value in _read_values(path, problems):
            try:
                documents.append(_checked(value))
            except (msgspec.ValidationError, ValueError) as exc:
                problems.append(f"{place}: {exc}")
    problems += _repeated(documents)
    if problems:
        raise InvalidInputError("\n".join(problems))
    return documents


def _read_values(path: Path, problems: list[str]) -> Iterator[tuple[str, Any]]:
    """Yield each value in a file with its place."""
    try:
        text = sys.stdin.read() if path == STANDARD_INPUT else path.read_text("utf-8")
    except OSError as exc:
        problems.append(f"{path}: {exc.strerror}")
        return
    except UnicodeDecodeError:
        problems.append(f"{path}: is not text in UTF-8")
        return
    decoder = json.JSONDecoder()
    position = 0
    while True:
        while position < len(text) and text[position].isspace():
            position += 1
        if position == len(text):
            return
        line = text.count("\n", 0, position) + 1
        try:
            value, position = decoder.raw_decode(text, position)
        except (ValueError, RecursionError) as exc:
            line = getattr(exc, "lineno", line)
            problems.append(f"{path}, line {line}: is not JSON")
            return
        values = value if isinstance(value, list) else [value]
        for number, item in enumerate(values, start=1):
            yield f"{path}, line {line}, resource {number}", item


def _checked(value: Any) -> Document:
    """Return a document with every field of its specification."""
    given = msgspec.convert(value, _GivenDocument)
    tagged = {"type": given.kind.value, **given.spec}
    resource = {"type": "Resource", "name": given.name, "spec": tagged, "version": 0}
    spec = msgspec.convert(resource, Resource).spec
    # As JSON has it, where a tuple is a list.
    spec = msgspec.json.decode(msgspec.json.encode(spec))
    if spec.pop("type") != given.kind:
        raise ValueError("'type' is no field of a specification")
    return Document(kind=given.kind, name=given.name, spec=spec, version=given.version)


def _repeated(documents: Iterable[Document]) -> Iterator[str]:
    seen = set()
    for document in documents:
        key = (document.kind, document.name)
        if key in seen:
            yield f"{document.kind}/{document.name} is given more than once"
        seen.add(key)


def in_order(documents: Iterable[Document]) -> list[list[Document]]:
    """Group documents by kind so that each group needs only the ones before it."""
    groups = {kind: [] for kind in _ORDER}
    for document in documents:
        groups[document.kind].append(document)
    return [group for group in groups.values() if group]


def changed_fields(
    current: Mapping[str, Any], wanted: Mapping[str, Any]
) -> dict[str, tuple[Any, Any]]:
    """Return the fields that differ, each with its current and its wanted value."""
    names = [*current, *(name for name in wanted if name not in current)]
    pairs = {name: (current.get(name), wanted.get(name)) for name in names}
    return {name: pair for name, pair in pairs.items() if not _is_same(*pair)}


def _is_same(current: Any, wanted: Any) -> bool:
    """Compare two values; servers shorten the hash of a key."""
    if current == wanted:
        return True
    if not isinstance(current, str) or not isinstance(wanted, str):
        return False
    is_shortened = current.endswith(SHORTENED) and len(current) > len(SHORTENED)
    return is_shortened and wanted.startswith(current.removesuffix(SHORTENED))
