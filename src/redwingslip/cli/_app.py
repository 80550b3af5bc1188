"""The application that combines all of the operators' commands."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

import typer

from . import (
    _check_commands,
    _evacuation_commands,
    _job_commands,
    _key_commands,
    _load_commands,
    _resource_commands,
    _tool_commands,
    _vm_commands,
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
            help="Base URLs of entries; they are tried in order until one answers.",
        ),
    ] = "",
    token_file: Annotated[
        Path | None,
        typer.Option(
            envvar="REDWINGSLIP_TOKEN_FILE",
            help="File with the operator's token; the default is REDWINGSLIP_TOKEN.",
        ),
    ] = None,
    authority: Annotated[
        Path | None,
        typer.Option(
            envvar="REDWINGSLIP_AUTHORITY",
            help="PEM file of the authorities that sign the entries' certificates.",
        ),
    ] = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Seconds to try before giving up.")
    ] = 40.0,
    output: Annotated[
        OutputFormat, typer.Option(help="Tables for people, JSON for programs.")
    ] = OutputFormat.TABLE,
) -> None:
    """Store the options that precede the command."""
    ctx.obj = CommandContext(
        servers=server,
        token_file=token_file,
        authority=authority,
        timeout=timedelta(seconds=timeout),
        output=output,
    )


def _add_role_command(role: str, description: str) -> None:
    @app.command(role, help=f"{description[0].upper()}{description[1:]}.")
    def run_daemon(
        settings: Annotated[Path, typer.Argument(help="Settings file.")],
    ) -> None:
        raise typer.Exit(run_role([role, str(settings)]))


_resource_commands.register(app)
_check_commands.register(app)
_wave_commands.register(app)
_key_commands.register(app)
_evacuation_commands.register(app)
_vm_commands.register(app)
_job_commands.register(app)
_tool_commands.register(app)
_load_commands.register(app)
for _role, _description in ROLES.items():
    _add_role_command(_role, _description)
