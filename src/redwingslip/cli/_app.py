"""The operators' commands put together."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

import typer

from . import (
    _job_commands,
    _key_commands,
    _load_commands,
    _resource_commands,
    _tool_commands,
    _wave_commands,
)
from ._context import CommandContext, OutputFormat
from ._roles import ROLES
from ._roles import main as run_role

__all__ = ["app"]

app = typer.Typer(
    name="redwingslip",
    help="Manage a fleet's pools, teams, keys and maintenance waves.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


@app.callback()
def set_options(
    ctx: typer.Context,
    server: Annotated[
        str,
        typer.Option(
            envvar="REDWINGSLIP_SERVER",
            metavar="URL[,URL...]",
            help="Entries to ask, one after the other until one answers.",
        ),
    ] = "",
    token_file: Annotated[
        Path | None,
        typer.Option(
            envvar="REDWINGSLIP_TOKEN_FILE",
            help="File with the operator's token; REDWINGSLIP_TOKEN holds one too.",
        ),
    ] = None,
    authority: Annotated[
        Path | None,
        typer.Option(
            envvar="REDWINGSLIP_AUTHORITY",
            help="Certificates that the entries' must come from, PEM.",
        ),
    ] = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Seconds to try for before giving up.")
    ] = 40.0,
    output: Annotated[
        OutputFormat, typer.Option(help="Tables for people, JSON for programs.")
    ] = OutputFormat.TABLE,
) -> None:
    """Keep the options that stand before the command."""
    ctx.obj = CommandContext(
        servers=server,
        token_file=token_file,
        authority=authority,
        timeout=timedelta(seconds=timeout),
        output=output,
    )


def _add_role(role: str, words: str) -> None:
    @app.command(role, help=f"{words[0].upper()}{words[1:]}.")
    def run(settings: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
        raise typer.Exit(run_role([role, str(settings)]))


_resource_commands.register(app)
_wave_commands.register(app)
_key_commands.register(app)
_job_commands.register(app)
_tool_commands.register(app)
_load_commands.register(app)
for _role, _words in ROLES.items():
    _add_role(_role, _words)
