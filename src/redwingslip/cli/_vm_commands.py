"""Commands for the VMs that run jobs; their servers are controllers."""

from typing import Any

import msgspec
import typer

from ._client import Call
from ._context import CommandContext, run_coroutine
from ._output import print_json, print_rows

__all__ = ["register"]

vms = typer.Typer(
    help="List the VMs that run jobs, with their speeds; --server names controllers, "
    "at their address for operators."
)


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    app.add_typer(vms, name="vm")


@vms.command("list")
def list_vms(ctx: typer.Context) -> None:
    """Show the VMs, and how fast their runs are in relation to those on others."""
    cfg: CommandContext = ctx.obj
    items = run_coroutine(ctx, _fetch(cfg))["items"]
    if cfg.is_json:
        for item in items:
            print_json(item)
        return
    titles = ("vm", "pool", "data centre", "ready", "runs", "speed", "slow", "results")
    rows = [
        (
            item["vm_id"],
            item["pool"],
            item["data_centre"],
            "yes" if item["is_ready"] else "no",
            item["n_runs"],
            "" if item["speed"] is None else f"{item['speed']:.2f}",
            "yes" if item["is_slow"] else "no",
            item["n_results"],
        )
        for item in items
    ]
    print_rows(titles, rows)


async def _fetch(cfg: CommandContext) -> Any:
    answer = await cfg.client().request(Call(method="GET", path="/v1/vms"))
    return msgspec.json.decode(answer.body)
