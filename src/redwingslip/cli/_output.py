"""Printing results as tables for people or as JSON for programs."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table
from rich.text import Text

from ._client import Document

__all__ = ["new_progress", "print_documents", "print_json", "print_rows"]

# Wide enough that rows are not folded when the output is not a terminal.
NON_TERMINAL_WIDTH = 200

MAX_LIST_ITEMS = 8


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    typer.echo(msgspec.json.encode(value).decode())


def print_rows(titles: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for title in titles:
        table.add_column(title, overflow="fold")
    for row in rows:
        table.add_row(*(Text(_format_cell(value)) for value in row))
    _console().print(table)


def print_documents(documents: Sequence[Document]) -> None:
    """Print a table of resources of one kind."""
    specs = list(dict.fromkeys(key for doc in documents for key in doc.spec))
    statuses = list(dict.fromkeys(key for doc in documents for key in doc.status))
    titles = ["name", "version", "in force", *specs]
    titles += [f"status.{key}" for key in statuses]
    rows = [
        [
            doc.name,
            doc.version,
            doc.in_force,
            *(doc.spec.get(key) for key in specs),
            *(doc.status.get(key) for key in statuses),
        ]
        for doc in documents
    ]
    print_rows(titles, rows)


def new_progress() -> Progress:
    """Return a progress bar on standard error, disabled if that is not a terminal."""
    console = Console(stderr=True)
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        console=console,
        transient=True,
        disable=not console.is_terminal,
    )


def _console() -> Console:
    console = Console()
    return console if console.is_terminal else Console(width=NON_TERMINAL_WIDTH)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        shown = ",".join(_format_cell(item) for item in value[:MAX_LIST_ITEMS]) or "-"
        n_more = len(value) - MAX_LIST_ITEMS
        return f"{shown} and {n_more} more" if n_more > 0 else shown
    return str(value) if value != "" else "-"
