"""Commands over teams' keys."""

import secrets
from datetime import timedelta
from typing import Annotated

import typer

from ..fleet import Kind
from ._client import Document
from ._context import CommandContext, run
from ._output import print_json
from .exceptions import UnknownOutcomeError

__all__ = ["register"]

N_NAME_BYTES = 5
IN_FORCE_TIMEOUT = timedelta(seconds=30)

keys = typer.Typer(help="Grant and withdraw teams' keys.")


def register(app: typer.Typer) -> None:
    """Add the commands."""
    app.add_typer(keys, name="key")


@keys.command("grant")
def grant(
    ctx: typer.Context,
    team: Annotated[str, typer.Argument(help="Team that gets the key.")],
    name: Annotated[str, typer.Option(help="Name of the key; else made up.")] = "",
) -> None:
    """Grant a team a new key and show its secret, this once.

    The secret is made here and only its hash is sent.
    """
    from ..callers import hash_secret, make_secret

    cfg: CommandContext = ctx.obj
    name = name or f"{team[:40]}-{secrets.token_hex(N_NAME_BYTES)}"
    secret = make_secret(name)
    spec = {"team": team, "sha256": hash_secret(secret)}
    key = Document(kind=Kind.KEY, name=name, spec=spec)

    async def work() -> Document:
        try:
            return await cfg.client().put(key, if_version=0)
        except UnknownOutcomeError as exc:
            raise UnknownOutcomeError(
                f"{exc}; no one knows the secret: if there is a keys/{name}, withdraw "
                "it, and grant another"
            ) from exc

    granted = run(ctx, work())
    if cfg.is_json:
        print_json({"name": name, "version": granted.version, "secret": secret})
    else:
        typer.echo(f"key {name}, secret (shown only now):", err=True)
        typer.echo(secret)


@keys.command("withdraw")
def withdraw(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the key.")],
    wait: Annotated[bool, typer.Option(help="Wait until no entry takes it.")] = True,
    operation_id: Annotated[
        str, typer.Option(help="Id of an earlier try, to do it once.", metavar="ID")
    ] = "",
) -> None:
    """Withdraw a key and wait until it works nowhere any more."""
    cfg: CommandContext = ctx.obj

    async def work() -> Document:
        client = cfg.client()
        deleted = await client.delete(Kind.KEY, name, operation_id=operation_id)
        version = deleted.version or 0
        if wait:
            await client.wait_in_force(version, IN_FORCE_TIMEOUT)
        return deleted

    deleted = run(ctx, work())
    if cfg.is_json:
        print_json({"name": name, "version": deleted.version, "in_force": wait})
    else:
        words = ", and no entry takes it any more" if wait else ""
        typer.echo(f"key {name} is withdrawn{words}")
