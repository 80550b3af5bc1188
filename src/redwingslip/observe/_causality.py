"""What must have come before what, as far as the events tell."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from itertools import permutations

import msgspec

from ._events import Event, EventName
from ._timeline_event import TimelineEvent

__all__ = ["known_order", "request_of"]

# Ranks of the steps of one request.
_RECEIVED = 0
_DECIDED = 1
_SENT = 2
_ENDED = 3
_CLOSED = 4

_RANKS = {
    EventName.REQUEST_RECEIVED: _RECEIVED,
    EventName.PERMIT_GRANTED: _DECIDED,
    EventName.CALL_SENT: _SENT,
    EventName.CALL_ENDED: _ENDED,
    EventName.REQUEST_ANSWERED: _CLOSED,
    EventName.REQUEST_REFUSED: _CLOSED,
}


class _Step(msgspec.Struct, frozen=True):
    """A step of a request.

    Attributes
    ----------
    attempt : int
        Counts the attempts of the request; -1 when it is not known.
    """

    position: int
    rank: int
    attempt: int
    permit_id: str


def request_of(event: Event) -> str:
    """Return the request of an event, without the number of its attempt."""
    return _split(event.request_id)[0]


def known_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    """Yield pairs of positions of which the first must have come before."""
    yield from _process_order(events)
    yield from _request_order(events)
    yield from _index_order(events)


def _process_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    last: dict[str, int] = {}
    for position, event in enumerate(events):
        if event.process in last:
            yield last[event.process], position
        last[event.process] = position


def _request_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    for steps in _request_steps(events):
        for first, second in permutations(steps, 2):
            if _precedes(first, second):
                yield first.position, second.position


def _request_steps(events: Sequence[TimelineEvent]) -> Iterable[list[_Step]]:
    """Return the steps of each request."""
    attempts = _attempts_of_permits(events)
    requests: dict[str, list[_Step]] = defaultdict(list)
    for position, timeline_event in enumerate(events):
        event = timeline_event.event
        if not event.request_id or event.name not in _RANKS:
            continue
        request, attempt = _split(event.request_id)
        if attempt < 0:
            attempt = attempts.get(event.permit_id, -1)
        step = _Step(position, _rank(event), attempt, event.permit_id)
        requests[request].append(step)
    return requests.values()


def _attempts_of_permits(events: Sequence[TimelineEvent]) -> dict[str, int]:
    return {
        item.event.permit_id: _split(item.event.request_id)[1]
        for item in events
        if item.event.name is EventName.PERMIT_GRANTED
    }


def _rank(event: Event) -> int:
    """Return the rank of an event; a dispatcher's refusal ends one attempt only."""
    if event.name is EventName.REQUEST_REFUSED and event.epoch:
        return _DECIDED
    return _RANKS[event.name]


def _split(request_id: str) -> tuple[str, int]:
    """Return a request's id and the number of its attempt, -1 for none."""
    request, _, number = request_id.rpartition(".")
    if request and number.isascii() and number.isdecimal():
        return request, int(number[:9])
    return request_id, -1


def _precedes(first: _Step, second: _Step) -> bool:
    if first.rank == _RECEIVED or second.rank == _CLOSED:
        return first.rank < second.rank
    if first.rank == _CLOSED or second.rank == _RECEIVED:
        return False
    if first.permit_id and first.permit_id == second.permit_id:
        return first.rank < second.rank
    return -1 < first.attempt < second.attempt


def _index_order(events: Sequence[TimelineEvent]) -> Iterator[tuple[int, int]]:
    by_leader = _applied_by_leader(events)
    for position, event in enumerate(events):
        is_applied = event.event.name is EventName.COMMAND_APPLIED
        index = event.event.index if is_applied else event.event.epoch
        first = by_leader.get(index)
        if first is not None and events[first].process != event.process:
            yield first, position


def _applied_by_leader(events: Sequence[TimelineEvent]) -> dict[int, int]:
    """Return where the leader of its time applied each log index."""
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
