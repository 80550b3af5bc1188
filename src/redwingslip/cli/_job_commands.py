"""Commands over jobs, for those who hand them in."""

import asyncio
import secrets
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from ._client import Call, OperatorClient
from ._context import CommandContext, run
from ._output import print_json, print_rows
from .exceptions import InvalidInputError, UnknownOutcomeError

__all__ = ["register"]

N_ID_BYTES = 8
ACTIVE = ("queued", "running")
POLL_S = 0.5

Job = dict[str, Any]

jobs = typer.Typer(help="Hand in, follow and cancel jobs; the token is a key.")

QueueArgument = Annotated[str, typer.Argument(help="Name of the queue.")]
IdArgument = Annotated[str, typer.Argument(help="Id of the job.", metavar="ID")]
WaitOption = Annotated[bool, typer.Option(help="Wait until the job has ended.")]


def register(app: typer.Typer) -> None:
    """Add the commands."""
    app.add_typer(jobs, name="job")


@jobs.command("submit")
def submit(
    ctx: typer.Context,
    queue: QueueArgument,
    file: Annotated[Path, typer.Argument(help="The job, as JSON.")],
    job_id: Annotated[
        str, typer.Option("--id", help="Id of an earlier try, to hand it in once.")
    ] = "",
    wait: WaitOption = False,
) -> None:
    """Hand a job in and show it."""
    cfg: CommandContext = ctx.obj
    job_id = job_id or secrets.token_hex(N_ID_BYTES)

    async def work() -> Job:
        client = cfg.client()
        call = _call("POST", queue, job_id, body=_read(file))
        try:
            job = await _ask(client, call)
        except UnknownOutcomeError as exc:
            raise UnknownOutcomeError(
                f"every answer was lost; the job may have been accepted: repeat the "
                f"command with --id {job_id}, which hands it in once"
            ) from exc
        return await _follow(client, job) if wait else job

    _show(cfg, [run(ctx, work())])


@jobs.command("get")
def get(
    ctx: typer.Context,
    queue: QueueArgument,
    job_id: IdArgument,
    wait: WaitOption = False,
) -> None:
    """Show how far a job is."""
    cfg: CommandContext = ctx.obj

    async def work() -> Job:
        client = cfg.client()
        job = await _ask(client, _call("GET", queue, job_id))
        return await _follow(client, job) if wait else job

    _show(cfg, [run(ctx, work())])


@jobs.command("list")
def list_jobs(ctx: typer.Context, queue: QueueArgument) -> None:
    """Show the jobs that the key's customer handed in to a queue."""
    cfg: CommandContext = ctx.obj

    async def work() -> list[Job]:
        listing = await _ask(cfg.client(), _call("GET", queue))
        return listing["items"]

    _show(cfg, run(ctx, work()))


@jobs.command("cancel")
def cancel(ctx: typer.Context, queue: QueueArgument, job_id: IdArgument) -> None:
    """Cancel a job; what it runs is stopped."""
    cfg: CommandContext = ctx.obj

    async def work() -> Job:
        return await _ask(cfg.client(), _call("DELETE", queue, job_id))

    _show(cfg, [run(ctx, work())])


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise InvalidInputError(f"{path} can't be read: {exc.strerror}") from exc


def _call(method: str, queue: str, job_id: str = "", *, body: bytes = b"") -> Call:
    path = f"/v1/queues/{quote(queue, safe='')}/jobs"
    headers = {}
    if job_id:
        path += f"/{quote(job_id, safe='')}"
        # All of these calls can be repeated: the id names the job.
        headers["Idempotency-Key"] = job_id
    if body:
        headers["Content-Type"] = "application/json"
    return Call(method=method, path=path, headers=headers, body=body)


async def _ask(client: OperatorClient, call: Call) -> Any:
    answer = await client.ask(call)
    return msgspec.json.decode(answer.body)


async def _follow(client: OperatorClient, job: Job) -> Job:
    """Return a job once it has ended."""
    while job["status"] in ACTIVE:
        await asyncio.sleep(POLL_S)
        job = await _ask(client, _call("GET", job["queue"], job["id"]))
    return job


def _show(cfg: CommandContext, found: list[Job]) -> None:
    if cfg.is_json:
        for job in found:
            print_json(job)
        return
    rows = [
        (
            job["id"],
            job["status"],
            job["accepted_at"],
            sum(step["n_tasks"] for step in job["steps"]),
            sum(step["n_done"] for step in job["steps"]),
            sum(step["n_running"] for step in job["steps"]),
            sum(step["n_failures"] for step in job["steps"]),
        )
        for job in found
    ]
    print_rows(
        ("id", "status", "accepted", "tasks", "done", "running", "failures"), rows
    )
