"""The causal order of events, derived from the fields that they carry."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from itertools import permutations

import msgspec

from ._events import Event, EventName
from ._timeline_event import TimelineEvent

__all__ = ["base_request_id", "causal_pairs"]

# Ranks of a request's steps: a step with a lower rank comes first.
_RECEIVED = 0
_PERMIT_DECIDED = 1
_CALL_SENT = 2
_CALL_ENDED = 3
_CLOSED = 4

_RANKS = {
    EventName.REQUEST_RECEIVED: _RECEIVED,
    EventName.PERMIT_GRANTED: _PERMIT_DECIDED,
    EventName.CALL_SENT: _CALL_SENT,
    EventName.CALL_ENDED: _CALL_ENDED,
    EventName.REQUEST_ANSWERED: _CLOSED,
    EventName.REQUEST_REFUSED: _CLOSED,
}


class _Step(msgspec.Struct, frozen=True):
    """A step of a request.

    Attributes
    ----------
    position : int
        Position of the step's event in the list of all events.
    rank : int
        Rank of the step within an attempt.
    attempt : int
        Number of the attempt; -1 when it is not known.
    permit_id : str
        Permit of the step; empty for none.
    """

    position: int
    rank: int
    attempt: int
    permit_id: str


def base_request_id(event: Event) -> str:
    """Return the request id of an event, without the number of its attempt."""
    return _split_attempt(event.request_id)[0]


def causal_pairs(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    """Yield pairs of positions whose first event must precede the second."""
    yield from _process_order(events)
    yield from _request_order(events)
    yield from _log_index_order(events)


def _process_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    """Yield each event of a process with the next one of the same process."""
    last: dict[str, int] = {}
    for position, event in enumerate(events):
        if event.process in last:
            yield last[event.process], position
        last[event.process] = position


def _request_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    """Yield the pairs of steps of one request that have a known order."""
    for steps in _request_steps(events):
        for first, second in permutations(steps, 2):
            if _precedes(first, second):
                yield first.position, second.position


def _request_steps(events: Sequence[TimelineEvent]) -> Iterable[list[_Step]]:
    """Return a list of steps for each request."""
    attempts = _attempt_by_permit(events)
    requests: dict[str, list[_Step]] = defaultdict(list)
    for position, timeline_event in enumerate(events):
        event = timeline_event.event
        if not event.request_id or event.name not in _RANKS:
            continue
        request, attempt = _split_attempt(event.request_id)
        if attempt < 0:
            attempt = attempts.get(event.permit_id, -1)
        step = _Step(position, _rank(event), attempt, event.permit_id)
        requests[request].append(step)
    return requests.values()


def _attempt_by_permit(events: Sequence[TimelineEvent]) -> dict[str, int]:
    """Return the number of the attempt for which each permit was granted."""
    return {
        timeline_event.event.permit_id: _split_attempt(timeline_event.event.request_id)[
            1
        ]
        for timeline_event in events
        if timeline_event.event.name is EventName.PERMIT_GRANTED
    }


def _rank(event: Event) -> int:
    """Return the rank of an event.

    A refusal with an epoch comes from a dispatcher. It ends one attempt, not the
    request.
    """
    if event.name is EventName.REQUEST_REFUSED and event.epoch:
        return _PERMIT_DECIDED
    return _RANKS[event.name]


def _split_attempt(request_id: str) -> tuple[str, int]:
    """Split a request id into the base id and the attempt's number, -1 for none."""
    request, _, number = request_id.rpartition(".")
    if request and number.isascii() and number.isdecimal():
        return request, int(number[:9])
    return request_id, -1


def _precedes(first: _Step, second: _Step) -> bool:
    """Return whether one step of a request certainly comes before another."""
    if first.rank == _RECEIVED or second.rank == _CLOSED:
        return first.rank < second.rank
    if first.rank == _CLOSED or second.rank == _RECEIVED:
        return False
    if first.permit_id and first.permit_id == second.permit_id:
        return first.rank < second.rank
    return -1 < first.attempt < second.attempt


def _log_index_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    """Yield the leader's application of a command before its effects elsewhere.

    The effects are the command's application by other processes and events whose
    epoch is the command's log index.
    """
    leader_positions = _leader_application_positions(events)
    for position, event in enumerate(events):
        is_applied = event.event.name is EventName.COMMAND_APPLIED
        index = event.event.index if is_applied else event.event.epoch
        first = leader_positions.get(index)
        if first is not None and events[first].process != event.process:
            yield first, position


def _leader_application_positions(events: Sequence[TimelineEvent]) -> dict[int, int]:
    """Return the position at which the leader of the time applied each log index."""
    leaders: set[tuple[str, str]] = set()
    applied: dict[int, int] = {}
    for position, event in enumerate(events):
        run = (event.process, event.run)
        if event.event.name is EventName.LEADER_ELECTED:
            leaders.add(run)
        elif event.event.name is EventName.LEADER_STEPPED_DOWN:
            leaders.discard(run)
        elif event.event.name is EventName.COMMAND_APPLIED and run in leaders:
            applied.setdefault(event.event.index, position)
    applied.pop(0, None)
    return applied
