"""The command that sends a load to the entries and reports the results."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ._context import CommandContext, run_coroutine
from ._output import print_json
from .exceptions import ExitCode

__all__ = ["register"]


def register(app: typer.Typer) -> None:
    """Add the command to an application."""
    app.command()(load)


def load(
    ctx: typer.Context,
    experiment: Annotated[Path, typer.Argument(help="Experiment file, INI.")],
    report: Annotated[
        Path | None, typer.Option(help="File for the complete report, JSON.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="File for a plot, PNG or SVG.")
    ] = None,
) -> None:
    """Send the load of an experiment to the entries and report the results."""
    # Imported here, because the histograms and plots need an optional extra.
    from ..load import format_report, load_experiment, plot_report, run_load

    cfg: CommandContext = ctx.obj

    async def run_experiment():
        return await run_load(load_experiment(experiment))

    result = run_coroutine(ctx, run_experiment())
    if report is not None:
        report.write_bytes(msgspec.json.encode(result))
    if plot is not None:
        plot_report(result, plot)
    if cfg.is_json:
        print_json(result)
    else:
        typer.echo(format_report(result))
    if result.verdict is not None and not result.verdict.is_clean:
        raise typer.Exit(ExitCode.INTERNAL)
