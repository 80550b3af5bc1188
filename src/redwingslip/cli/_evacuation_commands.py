"""Commands for evacuations of data centres; their servers are controllers."""

from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from ._client import Call
from ._context import CommandContext, run_coroutine
from ._output import print_json, print_rows
from .exceptions import UnknownOutcomeError

__all__ = ["register"]

PATH = "/v1/evacuations"

NameArgument = Annotated[
    str, typer.Argument(help="Name of the data centre.", metavar="NAME")
]

evacuations = typer.Typer(
    help="Start, finish and list evacuations of data centres; --server names "
    "controllers, at their address for operators."
)


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    app.add_typer(evacuations, name="evacuation")


@evacuations.command("start")
def start(ctx: typer.Context, name: NameArgument) -> None:
    """Have nothing more started on the VMs of a data centre."""
    _print_evacuations(ctx.obj, [_change(ctx, "PUT", name)])


@evacuations.command("finish")
def finish(ctx: typer.Context, name: NameArgument) -> None:
    """Have tasks started there again, gradually at first."""
    document = _change(ctx, "DELETE", name)
    cfg: CommandContext = ctx.obj
    if cfg.is_json:
        print_json(document)
    else:
        print_rows(("data centre",), [(document["data_centre"],)])


@evacuations.command("list")
def list_evacuations(ctx: typer.Context) -> None:
    """Show the evacuations in progress, with what is left in the data centres."""
    listing = run_coroutine(ctx, _request(ctx.obj, Call(method="GET", path=PATH)))
    _print_evacuations(ctx.obj, listing["items"])


def _change(ctx: typer.Context, method: str, name: str) -> dict[str, Any]:
    """Start or finish an evacuation and return the answer."""
    call = Call(
        method=method,
        path=f"{PATH}/{quote(name, safe='')}",
        # A repeat changes nothing; the key marks the call as a write.
        headers={"Idempotency-Key": name.encode().hex()},
    )

    async def change() -> dict[str, Any]:
        try:
            return await _request(ctx.obj, call)
        except UnknownOutcomeError as exc:
            raise UnknownOutcomeError(
                "every answer was lost; the change may have been made: repeat the "
                "command, which makes it only once"
            ) from exc

    return run_coroutine(ctx, change())


async def _request(cfg: CommandContext, call: Call) -> Any:
    answer = await cfg.client().request(call)
    return msgspec.json.decode(answer.body)


def _print_evacuations(cfg: CommandContext, items: list[dict[str, Any]]) -> None:
    if cfg.is_json:
        for item in items:
            print_json(item)
        return
    titles = ("data centre", "started", "vms", "long-running", "short")
    keys = ("data_centre", "started_at", "n_vms", "n_long_running", "n_short")
    print_rows(titles, [tuple(item[key] for key in keys) for item in items])
