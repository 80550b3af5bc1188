"""The command that checks a configuration before it is sent."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ..checking import (
    Change,
    Finding,
    GivenResource,
    Severity,
    check_plan_document,
    check_resources,
    plan_changes,
)
from ..fleet import Kind
from ..jobs import Plan
from ..platform import DocumentError, parse_plan
from ._client import Document
from ._context import CommandContext, parse_servers
from ._documents import (
    changed_fields,
    group_in_creation_order,
    read_located,
    spec_of,
)
from ._exchange import ExchangeError, HttpRequest, exchange
from ._output import print_json, print_rows
from .exceptions import CommandError, InvalidInputError, NotReachedError

__all__ = ["register"]

CLEAN, FOUND, UNREADABLE = 0, 1, 2
HASH_DIGITS = 64
STATUS_OK = 200


class _Report(msgspec.Struct, frozen=True, kw_only=True):
    """What a check has found.

    Attributes
    ----------
    findings : list of Finding
        Problems of the document.
    changes : list of Change
        How it differs in meaning from what it was compared with.
    """

    findings: list[Finding]
    changes: list[Change] = []


def register(app: typer.Typer) -> None:
    """Add the command to an application."""
    app.command()(check_config)


def check_config(
    ctx: typer.Context,
    file: Annotated[Path, typer.Argument(help="Resources or a configuration.")],
    against: Annotated[
        str,
        typer.Option(
            metavar="FILE|SERVER",
            help="File or base URL with the version in force, to show what changes.",
        ),
    ] = "",
) -> None:
    """Check a file before it is sent; exit with 1 if there are findings.

    The exit code is 2 if the file, or what it is compared with, can't be read.
    """
    cfg: CommandContext = ctx.obj
    try:
        report = _check(cfg, file, against)
    except CommandError as exc:
        print(f"error: {exc}", file=sys.stderr)
        raise typer.Exit(UNREADABLE) from exc
    if cfg.is_json:
        print_json(report)
    else:
        _print_report(report)
    raise typer.Exit(FOUND if report.findings else CLEAN)


def _print_report(report: _Report) -> None:
    if report.findings:
        print_rows(
            ("severity", "place", "problem", "fix"),
            ((f.severity, f.place, f.problem, f.fix) for f in report.findings),
        )
    else:
        typer.echo("no findings")
    if report.changes:
        print_rows(
            ("entry", "field", "current", "wanted"),
            (
                (f"{change.kind}/{change.name}", change.field, *_ends_of(change))
                for change in report.changes
            ),
        )


def _ends_of(change: Change) -> tuple[object, object]:
    """Return the two values of a change; an entry as a whole is named, not shown."""
    if change.field:
        return change.current, change.wanted
    ends = (change.current, change.wanted)
    return tuple(None if end is None else "present" for end in ends)


def _check(cfg: CommandContext, file: Path, against: str) -> _Report:
    body = _read(file)
    if not _is_plan(body):
        return _check_resources(cfg, file, against)
    current = _current_plan(cfg, against) if against else None
    findings, plan = check_plan_document(body, current=current)
    changes = []
    if plan is not None and current is not None:
        changes = plan_changes(current, plan)
    return _Report(findings=findings, changes=changes)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise InvalidInputError(f"{path}: {exc.strerror}") from exc


def _is_plan(body: bytes) -> bool:
    """Return whether a document is a configuration of the users' platform."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return isinstance(value, dict) and ("routes" in value or "kind" not in value)


def _current_plan(cfg: CommandContext, against: str) -> Plan:
    """Return the plan in a file, or the one in force at a server."""
    path = Path(against)
    body = _read(path) if path.exists() else _fetch_plan(cfg, against)
    try:
        return parse_plan(body)
    except DocumentError as exc:
        raise InvalidInputError(f"{against}: {exc}") from exc


def _fetch_plan(cfg: CommandContext, against: str) -> bytes:
    (server,) = parse_servers(against)[:1]
    request = HttpRequest(
        method="GET", url=f"{server}/config/read", headers={}, timeout=cfg.timeout
    )
    try:
        answer = asyncio.run(exchange(request))
    except ExchangeError as exc:
        raise NotReachedError(f"{against}: {exc}") from exc
    if answer.status != STATUS_OK:
        raise NotReachedError(f"{against}: status {answer.status}")
    return answer.body


def _check_resources(cfg: CommandContext, file: Path, against: str) -> _Report:
    given, findings = _read_resources(file)
    current = _current_resources(cfg, against) if against else []
    try:
        in_force = _in_order(current)
    except msgspec.ValidationError as exc:
        raise InvalidInputError(f"{against}: {exc}") from exc
    findings += check_resources(_in_order(given), current=in_force)
    changes = []
    if against:
        by_name = {(d.kind, d.name): d for _, d in current}
        for _, document in given:
            old = by_name.get((document.kind, document.name))
            changes += _resource_changes(document, old)
    return _Report(findings=findings, changes=changes)


def _read_resources(
    file: Path,
) -> tuple[list[tuple[str, Document]], list[Finding]]:
    """Return the valid resources of a file, and the findings for the others."""
    unreadable: list[str] = []
    located, invalid = read_located([file], unreadable)
    if unreadable:
        raise InvalidInputError("\n".join(unreadable))
    findings = [
        _error(place, problem, "correct the field that is named")
        for place, problem in invalid
    ]
    seen: dict[tuple[Kind, str], str] = {}
    for place, document in located:
        first = seen.setdefault((document.kind, document.name), place)
        if first != place:
            problem = f"{document.kind}/{document.name} is given before ({first})"
            findings.append(_error(place, problem, "remove one of them"))
    return located, findings


def _error(place: str, problem: str, fix: str) -> Finding:
    return Finding(severity=Severity.ERROR, place=place, problem=problem, fix=fix)


def _current_resources(cfg: CommandContext, against: str) -> list[tuple[str, Document]]:
    if Path(against).exists():
        located, findings = _read_resources(Path(against))
        if findings:
            raise InvalidInputError(f"{findings[0].place}: {findings[0].problem}")
        return located
    client = msgspec.structs.replace(cfg, servers=against).client()

    async def list_all() -> list[tuple[str, Document]]:
        listings = [await client.list(kind) for kind in Kind]
        return [("", document) for listing in listings for document in listing.items]

    return asyncio.run(list_all())


def _in_order(located: Sequence[tuple[str, Document]]) -> list[GivenResource]:
    """Return resources such that others refer only to those before them."""
    places = {id(document): place for place, document in located}
    groups = group_in_creation_order(document for _, document in located)
    return [
        GivenResource(
            place=f"{places[id(document)]}: {document.kind}/{document.name}",
            name=document.name,
            spec=spec_of(_with_full_hash(document)),
        )
        for group in groups
        for document in group
    ]


def _with_full_hash(document: Document) -> Document:
    """Return a document whose hash, if servers have shortened it, has its length."""
    digits, shortened, _ = document.spec.get("sha256", "").partition("...")
    if not shortened:
        return document
    spec = {**document.spec, "sha256": digits.ljust(HASH_DIGITS, "0")}
    return msgspec.structs.replace(document, spec=spec)


def _resource_changes(document: Document, old: Document | None) -> list[Change]:
    kind, name = document.kind, document.name
    if old is None:
        return [Change(kind=kind, name=name, wanted=document.spec)]
    return [
        Change(kind=kind, name=name, field=field, current=before, wanted=after)
        for field, (before, after) in changed_fields(old.spec, document.spec).items()
    ]
