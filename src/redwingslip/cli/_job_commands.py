"""Commands for customers who submit jobs."""

import asyncio
import secrets
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from ._client import Call, OperatorClient
from ._context import CommandContext, run_coroutine
from ._output import print_json, print_rows
from .exceptions import InvalidInputError, UnknownOutcomeError

__all__ = ["register"]

N_ID_BYTES = 8
ACTIVE_STATUSES = ("queued", "running")
POLL_INTERVAL_S = 0.5

Job = dict[str, Any]

jobs = typer.Typer(help="Submit, follow and cancel jobs; the token is a key's secret.")

QueueArgument = Annotated[str, typer.Argument(help="Name of the queue.")]
IdArgument = Annotated[str, typer.Argument(help="Id of the job.", metavar="ID")]
WaitOption = Annotated[bool, typer.Option(help="Wait until the job has ended.")]


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    app.add_typer(jobs, name="job")


@jobs.command("submit")
def submit(
    ctx: typer.Context,
    queue: QueueArgument,
    file: Annotated[Path, typer.Argument(help="The job, as JSON.")],
    job_id: Annotated[
        str,
        typer.Option(
            "--id", help="Id of an earlier attempt, to submit the job only once."
        ),
    ] = "",
    wait: WaitOption = False,
) -> None:
    """Submit a job and show it."""
    cfg: CommandContext = ctx.obj
    job_id = job_id or secrets.token_hex(N_ID_BYTES)

    async def submit_job() -> Job:
        client = cfg.client()
        call = _build_call("POST", queue, job_id, body=_read_job_file(file))
        try:
            job = await _request(client, call)
        except UnknownOutcomeError as exc:
            raise UnknownOutcomeError(
                f"every answer was lost; the job may have been accepted: repeat the "
                f"command with --id {job_id}, which submits it only once"
            ) from exc
        return await _wait_until_ended(client, job) if wait else job

    _print_jobs(cfg, [run_coroutine(ctx, submit_job())])


@jobs.command("get")
def get(
    ctx: typer.Context,
    queue: QueueArgument,
    job_id: IdArgument,
    wait: WaitOption = False,
) -> None:
    """Show the status of a job and of its tasks."""
    cfg: CommandContext = ctx.obj

    async def fetch_job() -> Job:
        client = cfg.client()
        job = await _request(client, _build_call("GET", queue, job_id))
        return await _wait_until_ended(client, job) if wait else job

    _print_jobs(cfg, [run_coroutine(ctx, fetch_job())])


@jobs.command("list")
def list_jobs(ctx: typer.Context, queue: QueueArgument) -> None:
    """Show the jobs that the key's customer submitted to a queue."""
    cfg: CommandContext = ctx.obj

    async def fetch_jobs() -> list[Job]:
        listing = await _request(cfg.client(), _build_call("GET", queue))
        return listing["items"]

    _print_jobs(cfg, run_coroutine(ctx, fetch_jobs()))


@jobs.command("cancel")
def cancel(ctx: typer.Context, queue: QueueArgument, job_id: IdArgument) -> None:
    """Cancel a job; its running tasks are stopped."""
    cfg: CommandContext = ctx.obj

    async def request_cancellation() -> Job:
        return await _request(cfg.client(), _build_call("DELETE", queue, job_id))

    _print_jobs(cfg, [run_coroutine(ctx, request_cancellation())])


def _read_job_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise InvalidInputError(f"{path} can't be read: {exc.strerror}") from exc


def _build_call(
    method: str, queue: str, job_id: str = "", *, body: bytes = b""
) -> Call:
    path = f"/v1/queues/{quote(queue, safe='')}/jobs"
    headers = {}
    if job_id:
        path += f"/{quote(job_id, safe='')}"
        # Each of these calls can be repeated safely, because the id names the job.
        headers["Idempotency-Key"] = job_id
    if body:
        headers["Content-Type"] = "application/json"
    return Call(method=method, path=path, headers=headers, body=body)


async def _request(client: OperatorClient, call: Call) -> Any:
    answer = await client.request(call)
    return msgspec.json.decode(answer.body)


async def _wait_until_ended(client: OperatorClient, job: Job) -> Job:
    """Poll a job until it has ended, and return it."""
    while job["status"] in ACTIVE_STATUSES:
        await asyncio.sleep(POLL_INTERVAL_S)
        job = await _request(client, _build_call("GET", job["queue"], job["id"]))
    return job


def _print_jobs(cfg: CommandContext, records: list[Job]) -> None:
    if cfg.is_json:
        for job in records:
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
        for job in records
    ]
    print_rows(
        ("id", "status", "accepted", "tasks", "done", "running", "failures"), rows
    )
