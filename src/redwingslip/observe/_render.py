"""Renders a time line as text or as a picture."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from ._events import EventName
from ._timeline_event import TimelineEvent
from .exceptions import TimelineError

__all__ = ["render_picture", "render_text"]

PICTURE_WIDTH_INCHES = 12
ROW_HEIGHT_INCHES = 0.5
MAX_LABELS = 60

# Each event name has its own combination of colour and marker.
N_COLOURS = 10
MARKERS = ("o", "s", "^", "D", "v")


def render_text(events: Sequence[TimelineEvent]) -> str:
    """Return a line for each event: time, process, name of the event and fields."""
    width = max((len(event.process) for event in events), default=0)
    return "".join(f"{_text_line(event, width)}\n" for event in events)


def _text_line(event: TimelineEvent, width: int) -> str:
    time = event.time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    fields = msgspec.to_builtins(event.event)
    name = fields.pop("name")
    fields_text = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{time}  {event.process:{width}}  {name:20}  {fields_text}".rstrip()


def render_picture(events: Sequence[TimelineEvent], path: Path | str) -> None:
    """Draw a row for each process with a mark for each event.

    The horizontal axis is the order of the time line, so that an effect is never left
    of its cause. The ending of the path selects the format, such as PNG or SVG.

    Raises
    ------
    TimelineError
        The drawing library is not installed, or the file can't be written.
    """
    try:
        from matplotlib.backends.backend_agg import FigureCanvasAgg
        from matplotlib.figure import Figure
    except ImportError as exc:
        message = "pictures need matplotlib: install redwingslip[report]"
        raise TimelineError(message) from exc
    processes = sorted({event.process for event in events})
    rows = {process: row for row, process in enumerate(processes)}
    height = 2 + ROW_HEIGHT_INCHES * len(processes)
    figure = Figure(figsize=(PICTURE_WIDTH_INCHES, height), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    _draw_marks(axes, events, rows)
    axes.set_yticks(range(len(processes)), processes)
    axes.set_ylim(-0.5, len(processes) + 0.5)
    axes.set_xlabel("events in order")
    if events:
        figure.legend(fontsize=6, ncols=7, loc="outside lower center")
    axes.grid(axis="y", alpha=0.3)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise TimelineError(f"{path} can't be written: {exc}") from exc


def _draw_marks(axes, events: Sequence[TimelineEvent], rows: dict[str, int]) -> None:
    names = list(EventName)
    for name in names:
        marks = [
            (position, rows[event.process])
            for position, event in enumerate(events)
            if event.event.name is name
        ]
        if marks:
            xs, ys = zip(*marks, strict=True)
            row, column = divmod(names.index(name), N_COLOURS)
            axes.scatter(
                xs, ys, s=20, color=f"C{column}", marker=MARKERS[row], label=name
            )
    if len(events) <= MAX_LABELS:
        for position, event in enumerate(events):
            axes.annotate(
                event.event.name,
                (position, rows[event.process]),
                xytext=(0, 4),
                textcoords="offset points",
                rotation=45,
                fontsize=6,
            )
