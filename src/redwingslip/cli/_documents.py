"""Reading, validating and comparing the resources in files."""

import json
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ..fleet import Kind, Resource, Spec
from ._client import Document
from .exceptions import InvalidInputError

__all__ = [
    "changed_fields",
    "group_in_creation_order",
    "read_documents",
    "read_located",
    "spec_of",
]

STANDARD_INPUT = Path("-")
TRUNCATION_SUFFIX = "..."

# A resource is written before the resources that refer to it.
_CREATION_ORDER = (
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
    """A document as an operator writes it.

    `status` and `in_force` are accepted and ignored, so that the output of
    ``redwingslip get`` can be written back.
    """

    kind: Kind
    name: str
    spec: dict[str, Any] = {}
    version: int | None = None
    status: dict[str, Any] = {}
    in_force: bool = False


def read_documents(paths: Sequence[Path]) -> list[Document]:
    """Read resources from JSON files.

    A file holds one resource, a list of them, or one on each line.

    Raises
    ------
    InvalidInputError
        Lists every problem in all of the files.
    """
    problems: list[str] = []
    located, invalid = read_located(paths, problems)
    problems += [f"{location}: {problem}" for location, problem in invalid]
    documents = [document for _, document in located]
    problems += _find_duplicates(documents)
    if problems:
        raise InvalidInputError("\n".join(problems))
    return documents


def read_located(
    paths: Sequence[Path], unreadable: list[str]
) -> tuple[list[tuple[str, Document]], list[tuple[str, str]]]:
    """Read resources from JSON files, see `read_documents`.

    Parameters
    ----------
    paths : sequence of Path
        The files.
    unreadable : list of str
        Gets a message for each file that can't be read to its end.

    Returns
    -------
    tuple of list, list
        The valid resources and the problems of the others, each with its location.
    """
    located: list[tuple[str, Document]] = []
    invalid: list[tuple[str, str]] = []
    for path in paths:
        for location, value in _read_values(path, unreadable):
            try:
                located.append((location, _validate(value)))
            except (msgspec.ValidationError, ValueError) as exc:
                invalid.append((location, str(exc)))
    return located, invalid


def spec_of(document: Document) -> Spec:
    """Return the specification of a valid document."""
    fields = {"type": document.kind.value, **document.spec}
    resource = {"type": "Resource", "name": document.name, "spec": fields, "version": 0}
    return msgspec.convert(resource, Resource).spec


def _read_values(path: Path, problems: list[str]) -> Iterator[tuple[str, Any]]:
    """Yield each JSON value of a file with its location for error messages."""
    try:
        text = sys.stdin.read() if path == STANDARD_INPUT else path.read_text("utf-8")
    except OSError as exc:
        problems.append(f"{path}: {exc.strerror}")
        return
    except UnicodeDecodeError:
        problems.append(f"{path}: is not UTF-8 text")
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


def _validate(value: Any) -> Document:
    """Return a valid document whose specification has every field."""
    parsed = msgspec.convert(value, _GivenDocument)
    tagged = {"type": parsed.kind.value, **parsed.spec}
    resource = {"type": "Resource", "name": parsed.name, "spec": tagged, "version": 0}
    spec = msgspec.convert(resource, Resource).spec
    # A round trip through JSON turns tuples into lists, as in the servers' answers.
    spec = msgspec.json.decode(msgspec.json.encode(spec))
    if spec.pop("type") != parsed.kind:
        raise ValueError("'type' is not a field of a specification")
    return Document(
        kind=parsed.kind, name=parsed.name, spec=spec, version=parsed.version
    )


def _find_duplicates(documents: Iterable[Document]) -> Iterator[str]:
    seen = set()
    for document in documents:
        key = (document.kind, document.name)
        if key in seen:
            yield f"{document.kind}/{document.name} is given more than once"
        seen.add(key)


def group_in_creation_order(documents: Iterable[Document]) -> list[list[Document]]:
    """Group documents by kind; a group refers only to groups before it."""
    groups = {kind: [] for kind in _CREATION_ORDER}
    for document in documents:
        groups[document.kind].append(document)
    return [group for group in groups.values() if group]


def changed_fields(
    current: Mapping[str, Any], wanted: Mapping[str, Any]
) -> dict[str, tuple[Any, Any]]:
    """Return the fields that differ, each with its current and its desired value."""
    names = [*current, *(name for name in wanted if name not in current)]
    pairs = {name: (current.get(name), wanted.get(name)) for name in names}
    return {name: pair for name, pair in pairs.items() if not _is_equal(*pair)}


def _is_equal(current: Any, wanted: Any) -> bool:
    """Return whether two values are equal; servers truncate the hash of a key."""
    if current == wanted:
        return True
    if not isinstance(current, str) or not isinstance(wanted, str):
        return False
    is_truncated = current.endswith(TRUNCATION_SUFFIX) and len(current) > len(
        TRUNCATION_SUFFIX
    )
    return is_truncated and wanted.startswith(current.removesuffix(TRUNCATION_SUFFIX))
