"""Commands that need no server: settings, timeline, tokens."""

import enum
from pathlib import Path
from typing import Annotated

import typer

from ..daemons import (
    ControllerSettings,
    EntryDaemonSettings,
    GatewaySettings,
    ReplicaDaemonSettings,
)
from ..observe import (
    TimelineError,
    TimelineFilter,
    explain,
    merge_timeline,
    render_picture,
    render_text,
)
from ..settings import (
    InvalidSettingsError,
    find_warnings,
    load_settings,
    render_example,
)
from ._context import CommandContext, exit_with_error, read_token_file
from ._output import print_json
from .exceptions import InvalidInputError

__all__ = ["register"]


class Role(enum.StrEnum):
    """The roles that have a settings file."""

    ENTRY = "entry"
    REPLICA = "replica"
    GATEWAY = "gateway"
    CONTROLLER = "controller"


_SETTINGS = {
    Role.ENTRY: EntryDaemonSettings,
    Role.REPLICA: ReplicaDaemonSettings,
    Role.GATEWAY: GatewaySettings,
    Role.CONTROLLER: ControllerSettings,
}

RoleArgument = Annotated[Role, typer.Argument(help="Role of the process.")]


def register(app: typer.Typer) -> None:
    """Add the commands to an application."""
    app.command()(check_settings)
    app.command()(example_settings)
    app.command()(hash_token)
    app.command()(timeline)
    app.command(name="explain")(explain_job)


def check_settings(
    ctx: typer.Context,
    role: RoleArgument,
    files: Annotated[list[Path], typer.Argument(help="Settings files.")],
) -> None:
    """Report all problems of settings files."""
    cfg: CommandContext = ctx.obj
    problems: list[Exception] = []
    warnings = {}
    for path in files:
        try:
            settings = load_settings(path, _SETTINGS[role])
        except InvalidSettingsError as exc:
            problems += exc.exceptions if len(files) == 1 else [exc]
        else:
            warnings[str(path)] = find_warnings(settings)
    if problems:
        exit_with_error(
            ctx, InvalidSettingsError("invalid settings", _flatten_problems(problems))
        )
    if cfg.is_json:
        print_json(warnings)
        return
    for name, messages in warnings.items():
        typer.echo(f"{name}: valid")
        for message in messages:
            typer.echo(f"  warning: {message}")


def _flatten_problems(problems: list[Exception]) -> list[Exception]:
    """Return single problems; those of several files are prefixed with the file."""
    flat = []
    for problem in problems:
        if isinstance(problem, InvalidSettingsError):
            flat += [
                InvalidInputError(f"{problem.message}: {exc}")
                for exc in problem.exceptions
            ]
        else:
            flat.append(problem)
    return flat


def example_settings(role: RoleArgument) -> None:
    """Print an example settings file with every option and its description."""
    typer.echo(render_example(_SETTINGS[role]), nl=False)


def hash_token(
    ctx: typer.Context,
    token_file: Annotated[Path, typer.Argument(help="File with the token.")],
) -> None:
    """Print the SHA-256 of a token in the form that settings files use."""
    from ..callers import hash_secret

    try:
        typer.echo(hash_secret(read_token_file(token_file)))
    except InvalidInputError as exc:
        exit_with_error(ctx, exc)


def timeline(
    ctx: typer.Context,
    files: Annotated[list[Path], typer.Argument(help="Event logs of processes.")],
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    vm: Annotated[str, typer.Option(help="Only this VM.")] = "",
    team: Annotated[str, typer.Option(help="Only this team.")] = "",
    wave: Annotated[str, typer.Option(help="Only this wave.")] = "",
    picture: Annotated[
        Path | None,
        typer.Option(help="Draw the timeline to this file, such as PNG or SVG."),
    ] = None,
) -> None:
    """Show the events of all processes, merged into one order."""
    cfg: CommandContext = ctx.obj
    event_filter = TimelineFilter(request=request, vm=vm, team=team, wave=wave)
    try:
        events = merge_timeline(_with_rotated_logs(files), event_filter)
        if picture is not None:
            render_picture(events, picture)
    except TimelineError as exc:
        exit_with_error(ctx, InvalidInputError(str(exc)))
    if cfg.is_json:
        for event in events:
            print_json(event)
    elif picture is None:
        typer.echo(render_text(events), nl=False)


def explain_job(
    ctx: typer.Context,
    job_id: Annotated[str, typer.Argument(help="Id of the job.", metavar="ID")],
    files: Annotated[list[Path], typer.Argument(help="Event logs of processes.")],
) -> None:
    """Explain from the event logs why a job was refused, late or failed."""
    cfg: CommandContext = ctx.obj
    try:
        events = merge_timeline(_with_rotated_logs(files))
    except TimelineError as exc:
        exit_with_error(ctx, InvalidInputError(str(exc)))
    explanation = explain(events, job_id)
    if cfg.is_json:
        print_json(explanation)
        return
    typer.echo(render_text(explanation.events), nl=False)
    for cause in explanation.causes:
        typer.echo(f"=> {cause}")


def _with_rotated_logs(files: list[Path]) -> list[Path]:
    """Return the logs, and the older logs that were renamed at their size limit."""
    rotated = [path.with_name(f"{path.name}.1") for path in files]
    return [*files, *(path for path in rotated if path.exists())]
