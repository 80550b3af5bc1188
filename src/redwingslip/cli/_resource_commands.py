"""Commands for resources, and for the status of servers and replicas."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ..fleet import Kind
from ._apply import ApplyResult, apply_documents, compare_documents
from ._client import Document, WatchLine
from ._context import CommandContext, run_coroutine
from ._documents import read_documents
from ._output import new_progress, print_documents, print_json, print_rows
from .exceptions import ExitCode, NotReachedError

__all__ = ["register"]

STATUS_TIMEOUT = timedelta(seconds=5)

Files = Annotated[
    list[Path], typer.Argument(help="Files of JSON resources; '-' for standard input.")
]
OperationId = Annotated[
    str,
    typer.Option(help="Id of an earlier attempt, to delete only once.", metavar="ID"),
]
KindArgument = Annotated[Kind, typer.Argument(help="Kind of resource.")]
NameArgument = Annotated[str, typer.Argument(help="Name of the resource.")]


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    for command in (apply, diff, get, watch, delete, status, replicas):
        app.command()(command)


def apply(
    ctx: typer.Context,
    files: Files,
    wait: Annotated[
        bool, typer.Option(help="Wait until every entry has adopted the changes.")
    ] = False,
) -> None:
    """Write the resources in files that differ from the fleet's."""
    cfg: CommandContext = ctx.obj
    results = run_coroutine(ctx, _apply(cfg, files))
    _print_results(cfg, results)
    if wait:
        run_coroutine(ctx, _wait_in_force(cfg, results))
    raise typer.Exit(max_exit_code(results))


async def _apply(cfg: CommandContext, files: list[Path]) -> list[ApplyResult]:
    documents = read_documents(files)
    client = cfg.client()
    with new_progress() as progress:
        bar = progress.add_task("applying", total=len(documents))
        results = await apply_documents(
            client, documents, on_done=lambda n_done: progress.advance(bar, n_done)
        )
    return results


async def _wait_in_force(cfg: CommandContext, results: list[ApplyResult]) -> None:
    version = max((result.version for result in results), default=0)
    await cfg.client().wait_in_force(version, cfg.timeout)


def _print_results(cfg: CommandContext, results: list[ApplyResult]) -> None:
    if cfg.is_json:
        print_json(results)
        return
    rows = [
        (f"{result.kind}/{result.name}", result.action, result.version, result.error)
        for result in results
    ]
    print_rows(("resource", "done", "version", "error"), rows)


def max_exit_code(results: list[ApplyResult]) -> int:
    """Return the highest exit code among the results."""
    return max((result.exit_code for result in results), default=ExitCode.OK)


def diff(ctx: typer.Context, files: Files) -> None:
    """Show what apply would change; the exit code is 10 if anything differs."""
    cfg: CommandContext = ctx.obj
    differences = run_coroutine(ctx, _diff(cfg, files))
    if cfg.is_json:
        print_json(differences)
    elif differences:
        rows = [
            (
                f"{difference.kind}/{difference.name}",
                difference.field,
                difference.current,
                difference.wanted,
            )
            for difference in differences
        ]
        print_rows(("resource", "field", "current", "wanted"), rows)
    raise typer.Exit(ExitCode.DIFFERENT if differences else ExitCode.OK)


async def _diff(cfg: CommandContext, files: list[Path]):
    documents = read_documents(files)
    return await compare_documents(cfg.client(), documents)


def get(
    ctx: typer.Context,
    kind: KindArgument,
    name: Annotated[
        str, typer.Argument(help="Name; all resources of the kind if left out.")
    ] = "",
) -> None:
    """Show resources: specification, status and whether they are in force."""
    cfg: CommandContext = ctx.obj
    documents = run_coroutine(ctx, _get(cfg, kind, name))
    if not cfg.is_json:
        print_documents(documents)
        return
    for document in documents:
        print_json(document)


async def _get(cfg: CommandContext, kind: Kind, name: str) -> list[Document]:
    client = cfg.client()
    if name:
        return [await client.get(kind, name)]
    return list((await client.list(kind)).items)


def watch(
    ctx: typer.Context,
    kind: KindArgument,
    since: Annotated[
        int,
        typer.Option(min=-1, help="Revision to begin after; -1 for the current one."),
    ] = -1,
    until_in_force: Annotated[
        int, typer.Option(min=0, help="Stop once this version is in force.")
    ] = 0,
) -> None:
    """Show changes of resources as they happen, until interrupted."""
    cfg: CommandContext = ctx.obj
    run_coroutine(ctx, _watch(cfg, kind, since, until_in_force))


async def _watch(
    cfg: CommandContext, kind: Kind, since: int, until_version: int
) -> None:
    client = cfg.client()
    if since < 0:
        since = (await client.list(kind)).revision
    async for line in client.watch(kind, since):
        _print_watch_line(cfg, line)
        if until_version and line.in_force >= until_version:
            return


def _print_watch_line(cfg: CommandContext, line: WatchLine) -> None:
    if cfg.is_json:
        fields = msgspec.structs.asdict(line)
        print_json({key: value for key, value in fields.items() if value is not None})
    elif line.resource is not None:
        doc = line.resource
        fields = {**doc.spec, **{f"status.{k}": v for k, v in doc.status.items()}}
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        typer.echo(f"{doc.kind}/{doc.name} version={doc.version} {text}")
    elif line.deleted is not None:
        typer.echo(f"{line.deleted.kind}/{line.deleted.name} deleted")


def delete(
    ctx: typer.Context,
    kind: KindArgument,
    name: NameArgument,
    if_version: Annotated[
        int | None, typer.Option(min=1, help="The version that must be current.")
    ] = None,
    operation_id: OperationId = "",
) -> None:
    """Delete a resource; a VM is drained before it leaves its pool."""
    cfg: CommandContext = ctx.obj

    async def delete_resource() -> Document:
        return await cfg.client().delete(
            kind, name, if_version=if_version, operation_id=operation_id
        )

    deleted = run_coroutine(ctx, delete_resource())
    if cfg.is_json:
        print_json(deleted)
    else:
        typer.echo(f"{kind}/{name} deleted by change {deleted.version}")


def status(ctx: typer.Context) -> None:
    """Show the status of each server, with its view of the leader."""
    cfg: CommandContext = ctx.obj
    statuses = run_coroutine(ctx, _all_server_statuses(cfg))
    if cfg.is_json:
        print_json(statuses)
    else:
        _print_status(statuses)
    if any("error" in record for record in statuses):
        raise typer.Exit(ExitCode.NOT_REACHED)


def replicas(ctx: typer.Context) -> None:
    """Show the replicas as the leader sees them, and which are fully repaired."""
    cfg: CommandContext = ctx.obj
    listing = run_coroutine(ctx, cfg.client().replicas())
    if cfg.is_json:
        print_json(listing)
        return
    titles = ["replica_id", "voting", "repaired", "address", "incarnation"]
    rows = [[replica[title] for title in titles] for replica in listing["replicas"]]
    print_rows(titles, rows)


def _print_status(statuses: list[dict]) -> None:
    titles = list(dict.fromkeys(key for record in statuses for key in record))
    print_rows(titles, [[record.get(title) for title in titles] for record in statuses])


async def _all_server_statuses(cfg: CommandContext) -> list[dict]:
    """Request the status of every server, so that an unreachable one is shown."""
    cfg = msgspec.structs.replace(cfg, timeout=min(cfg.timeout, STATUS_TIMEOUT))
    # Validates all options before the first request.
    cfg.client()
    servers = [url.strip() for url in cfg.servers.split(",") if url.strip()]
    return await asyncio.gather(*(_server_status(cfg, server) for server in servers))


async def _server_status(cfg: CommandContext, server: str) -> dict:
    client = msgspec.structs.replace(cfg, servers=server).client()
    try:
        return {"server": server, **await client.status()}
    except NotReachedError as exc:
        return {"server": server, "error": str(exc)}
