"""Commands for maintenance waves."""

import asyncio
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from typing import Annotated, Any

import msgspec
import typer

from ..fleet import Kind, WaveSpec
from ._client import Document, OperatorClient
from ._context import CommandContext, run_coroutine
from ._output import new_progress, print_documents, print_json
from .exceptions import ConflictError

__all__ = ["register"]

POLL_INTERVAL = timedelta(seconds=1)
N_WRITE_ATTEMPTS = 5
DONE_STATE = "done"

MaxParallel = Annotated[
    int | None,
    typer.Option(
        min=1,
        help="Maximum number of VMs in maintenance at once, within the pools' budgets.",
    ),
]
Wait = Annotated[bool, typer.Option(help="Show the progress until the wave is done.")]
OperationId = Annotated[
    str,
    typer.Option(help="Id of an earlier attempt, to start only once.", metavar="ID"),
]
WaveName = Annotated[str, typer.Argument(help="Name of the wave.")]

waves = typer.Typer(help="Start, pause, resume and follow maintenance waves.")


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    app.command()(drain)
    app.add_typer(waves, name="wave")


def drain(
    ctx: typer.Context,
    pool: Annotated[str, typer.Argument(help="Pool whose VMs are maintained.")],
    name: Annotated[
        str, typer.Option(help="Name of the wave; generated if left out.")
    ] = "",
    max_parallel: MaxParallel = None,
    wait: Wait = False,
    operation_id: OperationId = "",
) -> None:
    """Drain and reboot each VM of a pool once, within the pool's budgets."""
    name = name or f"drain-{pool[:40]}-{datetime.now(UTC):%Y%m%d-%H%M%S}"
    _start_wave(ctx, name, [pool], max_parallel, wait=wait, operation_id=operation_id)


@waves.command("start")
def start(
    ctx: typer.Context,
    name: WaveName,
    pool: Annotated[
        list[str] | None,
        typer.Option(help="Pool; may be repeated; all pools if left out."),
    ] = None,
    max_parallel: MaxParallel = None,
    wait: Wait = False,
    operation_id: OperationId = "",
) -> None:
    """Drain and reboot each VM of the pools once, within their budgets."""
    _start_wave(
        ctx, name, pool or [], max_parallel, wait=wait, operation_id=operation_id
    )


@waves.command("pause")
def pause(ctx: typer.Context, name: WaveName) -> None:
    """Pause a wave; VMs already in maintenance are finished."""
    _set_paused(ctx, name, paused=True)


@waves.command("resume")
def resume(ctx: typer.Context, name: WaveName) -> None:
    """Resume a paused wave."""
    _set_paused(ctx, name, paused=False)


@waves.command("status")
def status(ctx: typer.Context, name: WaveName, wait: Wait = False) -> None:
    """Show the state and progress of a wave."""
    cfg: CommandContext = ctx.obj

    async def fetch_wave() -> Document:
        client = cfg.client()
        if wait:
            await _show_progress(client, name)
        return await client.get(Kind.WAVE, name)

    _print_wave(cfg, run_coroutine(ctx, fetch_wave()))


def _start_wave(
    ctx: typer.Context,
    name: str,
    pools: Sequence[str],
    max_parallel: int | None,
    *,
    wait: bool,
    operation_id: str,
) -> None:
    cfg: CommandContext = ctx.obj
    spec = msgspec.to_builtins(WaveSpec(pools=tuple(pools)))
    del spec["type"]
    if max_parallel is not None:
        spec["max_parallel"] = max_parallel

    async def create_wave() -> Document:
        client = cfg.client()
        wave = Document(kind=Kind.WAVE, name=name, spec=spec)
        written = await client.put(wave, if_version=0, operation_id=operation_id)
        if not wait:
            return written
        await _show_progress(client, name)
        return await client.get(Kind.WAVE, name)

    _print_wave(cfg, run_coroutine(ctx, create_wave()))


def _set_paused(ctx: typer.Context, name: str, *, paused: bool) -> None:
    cfg: CommandContext = ctx.obj

    async def write_with_retries() -> Document:
        client = cfg.client()
        for _ in range(N_WRITE_ATTEMPTS - 1):
            try:
                return await _write_paused(client, name, paused=paused)
            except ConflictError:
                continue
        return await _write_paused(client, name, paused=paused)

    _print_wave(cfg, run_coroutine(ctx, write_with_retries()))


async def _write_paused(client: OperatorClient, name: str, *, paused: bool) -> Document:
    current = await client.get(Kind.WAVE, name)
    if current.spec.get("paused") is paused:
        return current
    wave = msgspec.structs.replace(current, spec={**current.spec, "paused": paused})
    return await client.put(wave, if_version=current.version)


async def _show_progress(client: OperatorClient, name: str) -> None:
    """Show a wave's progress until it is done."""
    with new_progress() as progress:
        bar = progress.add_task(name, total=None)
        while True:
            status = (await client.get(Kind.WAVE, name)).status
            n_done, total = _count_vms(status)
            progress.update(bar, completed=n_done, total=total)
            if status.get("state") == DONE_STATE:
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())


def _count_vms(status: dict[str, Any]) -> tuple[int, int]:
    """Return how many VMs of a wave are done, and how many it has in all."""
    n_done = status.get("n_done", 0)
    return n_done, n_done + _n_vms_in(status, "pending") + _n_vms_in(status, "active")


def _n_vms_in(status: dict[str, Any], status_key: str) -> int:
    return status.get(f"n_{status_key}", len(status.get(status_key, ())))


def _print_wave(cfg: CommandContext, wave: Document) -> None:
    if cfg.is_json:
        print_json(wave)
    else:
        print_documents([wave])
