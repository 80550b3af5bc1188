"""Merges the event logs of all processes into one time line.

The clocks of different machines disagree. The merged order is therefore the causal
order, as far as the events show it; events without a causal order are sorted by time.
The causal order has these rules:

- The events of one process keep the order in which the process wrote them.
- The steps of a request are: receipt, grant of a permit, start and end of the call,
  answer. A permit is granted before its own call, and an attempt precedes the next
  one.
- The leader applies a command before any other process applies it, and before an epoch
  begins that is numbered by the command's log index.
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
    """Selects events by their fields; an empty field selects all."""

    request: str = ""
    vm: str = ""
    team: str = ""
    wave: str = ""

    def accepts(self, event: Event) -> bool:
        """Return whether an event has the values of all non-empty fields."""
        criteria = (
            (self.request, base_request_id(event)),
            (self.vm, event.vm),
            (self.team, event.team),
            (self.wave, event.wave),
        )
        return all(not wanted or wanted == value for wanted, value in criteria)


class _Line(msgspec.Struct):
    """The fields of a line of the log that are read before the event itself."""

    process: str
    task_uuid: str
    task_level: list[int]
    timestamp: float
    message_type: str = ""


_LINE_DECODER = msgspec.json.Decoder(_Line)


def merge_timeline(
    paths: Iterable[Path | str], event_filter: TimelineFilter | None = None
) -> list[TimelineEvent]:
    """Merge the logs of several processes into one time line.

    Parameters
    ----------
    paths : iterable of Path or str
        The log files, in any order.
    event_filter : TimelineFilter or None
        Selects the events to return. The other events still determine the order.

    Raises
    ------
    TimelineError
        A file can't be read. Incomplete lines are skipped.
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
    """Return the event of a line, or None when the line holds no event."""
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
    """Sort events by process, start of the run and sequence, without duplicates."""
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
    """Sort topologically by the known order, and by time where that leaves a choice.

    Parameters
    ----------
    events : sequence of TimelineEvent
        The events to sort.
    order : sequence of tuple
        Pairs of positions whose first event must precede the second.
    """
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
            # A successor is no earlier than its predecessor, even if its process's
            # clock is behind.
            times[after] = max(times[after], time)
            if not n_predecessors[after]:
                heapq.heappush(ready, (times[after], after))
    return result


def _earliest_remaining(
    times: Sequence[datetime], is_placed: Sequence[bool]
) -> tuple[datetime, int]:
    """Return the earliest remaining event, which breaks a cycle in the order.

    Only damaged logs can contain a cycle.
    """
    return min((times[i], i) for i in range(len(times)) if not is_placed[i])
