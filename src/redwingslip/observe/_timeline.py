"""The time line: the event logs of all processes in one order.

Clocks of different machines disagree, so the order follows what must have come before
what, as far as the events tell; only events that nothing orders go by their time:

- events of one process keep the order in which it wrote them;
- of one request, it is received, then permitted, called, ended and answered; a permit
  orders its own call, and an attempt the next one;
- a command is applied by its leader before any other process applies it, and before
  an epoch begins that carries its log index.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from ._causality import base_request_id, causal_pairs
from ._events import Event
from ._timeline_event import TimelineEvent
from .exceptions import TimelineError

__all__ = ["TimelineFilter", "merge_timeline"]


class TimelineFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Which events are wanted; an empty field wants all."""

    request: str = ""
    vm: str = ""
    team: str = ""
    wave: str = ""

    def accepts(self, event: Event) -> bool:
        """Return whether an event is wanted."""
        criteria = (
            (self.request, base_request_id(event)),
            (self.vm, event.vm),
            (self.team, event.team),
            (self.wave, event.wave),
        )
        return all(not wanted or wanted == value for wanted, value in criteria)


class _Line(msgspec.Struct):
    """What is read of a line of the log."""

    process: str
    task_uuid: str
    task_level: list[int]
    timestamp: float
    message_type: str = ""


_LINE_DECODER = msgspec.json.Decoder(_Line)


def merge_timeline(
    paths: Iterable[Path | str], event_filter: TimelineFilter | None = None
) -> list[TimelineEvent]:
    """Merge the logs of processes into one order.

    Parameters
    ----------
    paths : iterable of Path or str
        The log files, in any order.
    wanted : TimelineFilter or None
        Which events to return; all of them count for the order.

    Raises
    ------
    TimelineError
        A file can't be read. Torn lines are passed over.
    """
    events = _sort_by_process(
        event for path in paths for event in _read_log(Path(path))
    )
    order = _sort_causally(events, list(causal_pairs(events)))
    if event_filter is None:
        return order
    return [event for event in order if event_filter.accepts(event.event)]


def _read_log(path: Path) -> Iterator[TimelineEvent]:
    try:
        with path.open("rb") as file:
            for line in file:
                event = _read_line(line)
                if event is not None:
                    yield event
    except OSError as exc:
        raise TimelineError(f"{path} can't be read: {exc.strerror}") from exc


def _read_line(line: bytes) -> TimelineEvent | None:
    """Return the event of a line; None for any other line."""
    try:
        head = _LINE_DECODER.decode(line)
        if not head.message_type:
            return None
        fields = msgspec.json.decode(line)
        event = msgspec.convert({**fields, "name": head.message_type}, Event)
        time = datetime.fromtimestamp(head.timestamp, UTC)
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, ValueError):
        return None
    return TimelineEvent(
        process=head.process,
        run=head.task_uuid,
        sequence=head.task_level[0] if head.task_level else 0,
        time=time,
        event=event,
    )


def _sort_by_process(events: Iterable[TimelineEvent]) -> list[TimelineEvent]:
    """Sort events by process, run and sequence, each once."""
    unique = {(event.process, event.run, event.sequence): event for event in events}
    run_started_at: dict[str, datetime] = {}
    for event in unique.values():
        run_started_at[event.run] = min(
            event.time, run_started_at.get(event.run, event.time)
        )
    return sorted(
        unique.values(),
        key=lambda event: (
            event.process,
            run_started_at[event.run],
            event.run,
            event.sequence,
        ),
    )


def _sort_causally(
    events: Sequence[TimelineEvent], order: Sequence[tuple[int, int]]
) -> list[TimelineEvent]:
    """Sort by the known order, and by time where it leaves a choice."""
    successors: dict[int, list[int]] = defaultdict(list)
    n_predecessors = [0] * len(events)
    for before, after in order:
        successors[before].append(after)
        n_predecessors[after] += 1
    times = [event.time for event in events]
    ready = [(times[i], i) for i in range(len(events)) if not n_predecessors[i]]
    heapq.heapify(ready)
    is_placed = [False] * len(events)
    result: list[TimelineEvent] = []
    while len(result) < len(events):
        if not ready:
            heapq.heappush(ready, _earliest_remaining(times, is_placed))
        time, position = heapq.heappop(ready)
        if is_placed[position]:
            continue
        is_placed[position] = True
        result.append(events[position])
        for after in successors[position]:
            n_predecessors[after] -= 1
            # What follows is no earlier, whatever its clock says.
            times[after] = max(times[after], time)
            if not n_predecessors[after]:
                heapq.heappush(ready, (times[after], after))
    return result


def _earliest_remaining(
    times: Sequence[datetime], is_placed: Sequence[bool]
) -> tuple[datetime, int]:
    """Break a circle, which only damaged logs can hold, at its earliest event."""
    return min((times[i], i) for i in range(len(times)) if not is_placed[i])
