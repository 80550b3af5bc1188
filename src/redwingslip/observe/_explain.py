"""Why a job went as it did, in words, from the time line of all processes."""

from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta

import msgspec

from ._events import EventName
from ._timeline_event import TimelineEvent

__all__ = ["Explanation", "explain"]

# A wait is worth a word from here on: several rounds of placement.
LONG_WAIT = timedelta(milliseconds=500)
# How far back the loss of a leader still explains a refusal.
LOOK_BACK = timedelta(seconds=10)

NEVER_RUNS = 503
UNKNOWN_OUTCOME = 504


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What the logs say of one job.

    Attributes
    ----------
    events : tuple of TimelineEvent
        The job's own events, in causal order.
    causes : tuple of str
        What made it refused, late, or fail; one sentence each.
    """

    events: tuple[TimelineEvent, ...]
    causes: tuple[str, ...]


class _Story(msgspec.Struct, frozen=True):
    """A job's events, and those of the whole system in the same order."""

    own: tuple[TimelineEvent, ...]
    all: Sequence[TimelineEvent]

    def named(self, *names: EventName) -> list[TimelineEvent]:
        """Return the job's own events of some names."""
        return [event for event in self.own if event.event.name in names]

    def between(
        self, first: TimelineEvent, last: TimelineEvent, *names: EventName
    ) -> list[TimelineEvent]:
        """Return events of some names, of all processes, from one time to another."""
        return [
            event
            for event in self.all
            if event.event.name in names and first.time <= event.time <= last.time
        ]


def explain(events: Sequence[TimelineEvent], job_id: str) -> Explanation:
    """Tell a job's story from the merged logs.

    Parameters
    ----------
    events : sequence of TimelineEvent
        All events, as `merge_timeline` returns them without a filter.
    job_id : str
        The job.
    """
    own = tuple(event for event in events if event.event.request_id == job_id)
    story = _Story(own, events)
    causes = [cause for find in _FINDERS for cause in find(story)]
    if not own:
        causes = ["No line of these logs has this id."]
    elif not causes:
        causes = ["Nothing went wrong as far as these logs tell."]
    return Explanation(events=own, causes=tuple(causes))


def _find_refusals(story: _Story) -> Iterator[str]:
    was_accepted = bool(story.named(EventName.JOB_ACCEPTED))
    for refusal in story.named(EventName.CALL_REFUSED):
        status, detail = refusal.event.status, refusal.event.detail
        if status == NEVER_RUNS:
            yield f"{refusal.process} refused it and it did not run then: {detail}."
            yield from _find_lost_leader(story, refusal)
        elif status == UNKNOWN_OUTCOME:
            known = "a leader had accepted it" if was_accepted else "no leader took it"
            yield f"{refusal.process} had no clear answer ({detail}); {known}."
        else:
            yield f"{refusal.process} refused it with {status}: {detail}."


def _find_lost_leader(story: _Story, refusal: TimelineEvent) -> Iterator[str]:
    """Yield since when the process that refused knew no leader."""
    silences = [
        event
        for event in story.all
        if event.event.name is EventName.LEADER_SILENT
        and event.process == refusal.process
        and refusal.time - LOOK_BACK <= event.time <= refusal.time
    ]
    if silences:
        last = silences[-1]
        yield f"{last.process} had lost its leader: {last.event.detail}."


def _find_waits(story: _Story) -> Iterator[str]:
    accepted = story.named(EventName.JOB_ACCEPTED)
    starts = story.named(EventName.RUN_ORDERED)
    if not accepted:
        return
    if not starts:
        yield "It was accepted, and no task of it was started."
        return
    wait = starts[0].time - accepted[0].time
    if wait < LONG_WAIT:
        return
    yield f"Its first task waited {wait.total_seconds():.2f} s for a place."
    span = (accepted[0], starts[0])
    leaders = story.between(*span, EventName.LEADER_ELECTED)
    if leaders:
        yield f"{leaders[-1].process} became leader meanwhile."
    n_moves = len(story.between(*span, EventName.MOVE_ORDERED))
    n_maintained = len(story.between(*span, EventName.MAINTENANCE_ORDERED))
    if n_moves or n_maintained:
        yield (
            f"Meanwhile {n_moves} machines were ordered to other pools and "
            f"{n_maintained} into maintenance."
        )


def _find_lost_runs(story: _Story) -> Iterator[str]:
    for end in story.named(EventName.RUN_ENDED):
        how = end.event.detail.split(";")[0]
        if how.endswith((" lost", " lapsed", " broken")):
            yield f"A run on {end.event.vm} did not end by itself: {how}."
    for stop in story.named(EventName.RUN_PREEMPTED):
        yield f"A run on {stop.event.vm} was stopped: {stop.event.detail}."


def _find_failures(story: _Story) -> Iterator[str]:
    failures = [
        end
        for end in story.named(EventName.RUN_ENDED)
        if end.event.detail.split(";")[0].endswith(" failed")
    ]
    if not failures:
        return
    vms = sorted({end.event.vm for end in failures})
    yield f"{len(failures)} runs failed, on {', '.join(vms)}."
    if any(end.event.detail.endswith("job failed") for end in failures):
        yield (
            "It failed as often as its queue allows"
            + (", on different VMs: it can't succeed." if len(vms) > 1 else ".")
        )
    avoided = {e.event.vm for e in story.all if e.event.name is EventName.VM_AVOIDED}
    for vm in sorted(avoided.intersection(vms)):
        yield f"{vm} fails several jobs: the VM is at fault."


def _find_cancellation(story: _Story) -> Iterator[str]:
    for event in story.named(EventName.JOB_CANCELLED):
        yield f"It was cancelled {event.event.detail}."


_FINDERS: tuple[Callable[[_Story], Iterator[str]], ...] = (
    _find_refusals,
    _find_waits,
    _find_lost_runs,
    _find_failures,
    _find_cancellation,
)
