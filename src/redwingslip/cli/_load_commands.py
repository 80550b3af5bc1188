"""The command that loads entries and reports what came of it."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ._context import CommandContext, run
from ._output import print_json
from .exceptions import ExitCode

__all__ = ["register"]


def register(app: typer.Typer) -> None:
    """Add the command."""
    app.command()(load)


def load(
    ctx: typer.Context,
    experiment: Annotated[Path, typer.Argument(help="Experiment file, INI.")],
    report: Annotated[
        Path | None, typer.Option(help="File for the whole report, JSON.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="File for a plot, PNG or SVG.")
    ] = None,
) -> None:
    """Load the entries as an experiment says and report what came of it."""
    # Imported here, since the histograms and the plots are an extra of their own.
    from ..load import format_report, load_experiment, plot_report, run_load

    cfg: CommandContext = ctx.obj

    async def work():
        return await run_load(load_experiment(experiment))

    found = run(ctx, work())
    if report is not None:
        report.write_bytes(msgspec.json.encode(found))
    if plot is not None:
        plot_report(found, plot)
    if cfg.is_json:
        print_json(found)
    else:
        typer.echo(format_report(found))
    if found.verdict is not None and not found.verdict.is_clean:
        raise typer.Exit(ExitCode.INTERNAL)
