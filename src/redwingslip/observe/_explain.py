"""Explains a job's outcome in sentences, from the time line of all processes."""

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta

import msgspec

from ._events import EventName
from ._timeline_event import TimelineEvent

__all__ = ["Explanation", "explain"]

# Shorter waits for the first start of a task are not reported: a wait of this length
# spans several rounds of placement.
MIN_REPORTED_WAIT = timedelta(milliseconds=500)
# A refusal is explained by the loss of the leader if it follows within this time.
LEADER_LOSS_WINDOW = timedelta(seconds=10)

STATUS_NOT_RUN = 503
STATUS_OUTCOME_UNKNOWN = 504


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What the event logs show about one job.

    Attributes
    ----------
    events : tuple of TimelineEvent
        The job's own events, in causal order.
    causes : tuple of str
        Why the job was refused, late, stopped or failed; one sentence for each cause.
    """

    events: tuple[TimelineEvent, ...]
    causes: tuple[str, ...]


class _JobTimeline(msgspec.Struct, frozen=True):
    """The events of one job and those of all processes, both in causal order."""

    own: tuple[TimelineEvent, ...]
    all: Sequence[TimelineEvent]

    def select(self, *names: EventName) -> list[TimelineEvent]:
        """Return the job's events with one of the names."""
        return [event for event in self.own if event.event.name in names]

    def select_between(
        self, first: TimelineEvent, last: TimelineEvent, *names: EventName
    ) -> list[TimelineEvent]:
        """Return all processes' events with one of the names, between two events."""
        return [
            event
            for event in self.all
            if event.event.name in names and first.time <= event.time <= last.time
        ]


def explain(events: Sequence[TimelineEvent], job_id: str) -> Explanation:
    """Explain what happened to a job, from the merged logs.

    Parameters
    ----------
    events : sequence of TimelineEvent
        All events, as `merge_timeline` returns them without a filter.
    job_id : str
        Id of the job.
    """
    own = tuple(event for event in events if event.event.request_id == job_id)
    timeline = _JobTimeline(own, events)
    causes = [
        cause for find_causes in _CAUSE_FINDERS for cause in find_causes(timeline)
    ]
    if not own:
        causes = ["No line of these logs has this id."]
    elif not causes:
        causes = ["Nothing went wrong as far as these logs tell."]
    return Explanation(events=own, causes=tuple(causes))


def _find_refusals(timeline: _JobTimeline) -> Iterator[str]:
    """Yield a sentence for each refused call, and one for the leader loss behind it."""
    was_accepted = bool(timeline.select(EventName.JOB_ACCEPTED))
    for refusal in timeline.select(EventName.CALL_REFUSED):
        status, detail = refusal.event.status, refusal.event.detail
        if status == STATUS_NOT_RUN:
            yield f"{refusal.process} refused the call, which did not run: {detail}."
            yield from _find_leader_loss(timeline, refusal)
        elif status == STATUS_OUTCOME_UNKNOWN:
            acceptance = (
                "a leader had accepted it"
                if was_accepted
                else "no leader had accepted it"
            )
            yield f"{refusal.process} got no clear answer ({detail}); {acceptance}."
        else:
            yield f"{refusal.process} refused the call with {status}: {detail}."


def _find_leader_loss(timeline: _JobTimeline, refusal: TimelineEvent) -> Iterator[str]:
    """Yield a sentence for the last loss of the leader at the refusing process."""
    leader_losses = [
        event
        for event in timeline.all
        if event.event.name is EventName.LEADER_SILENT
        and event.process == refusal.process
        and refusal.time - LEADER_LOSS_WINDOW <= event.time <= refusal.time
    ]
    if leader_losses:
        last_loss = leader_losses[-1]
        yield f"{last_loss.process} had lost its leader: {last_loss.event.detail}."


def _find_waits(timeline: _JobTimeline) -> Iterator[str]:
    """Yield sentences for a long wait for the first start, and the events during it."""
    accepted = timeline.select(EventName.JOB_ACCEPTED)
    starts = timeline.select(EventName.RUN_ORDERED)
    if not accepted:
        return
    if not starts:
        yield "The job was accepted, but none of its tasks was started."
        return
    wait = starts[0].time - accepted[0].time
    if wait < MIN_REPORTED_WAIT:
        return
    yield f"The first task waited {wait.total_seconds():.2f} s to be placed."
    wait_span = (accepted[0], starts[0])
    leaders = timeline.select_between(*wait_span, EventName.LEADER_ELECTED)
    if leaders:
        yield f"{leaders[-1].process} became leader during the wait."
    n_moves = len(timeline.select_between(*wait_span, EventName.MOVE_ORDERED))
    n_maintained = len(
        timeline.select_between(*wait_span, EventName.MAINTENANCE_ORDERED)
    )
    if n_moves or n_maintained:
        yield (
            f"During the wait {n_moves} machines were ordered to other pools and "
            f"{n_maintained} into maintenance."
        )


def _find_rack_waits(timeline: _JobTimeline) -> Iterator[str]:
    """Yield a sentence for the waits for racks that lost time or have not ended."""
    ends = timeline.select(EventName.RACK_WAIT_ENDED)
    in_vain = [end for end in ends if "elsewhere" in end.event.detail]
    if in_vain:
        yield (
            f"{len(in_vain)} tasks waited for the rack of their data in vain, the last "
            f"one {in_vain[-1].event.detail}."
        )
    begins = timeline.select(EventName.RACK_WAIT_BEGUN)
    if len(begins) > len(ends):
        yield f"A task waits for the rack of its data: {begins[-1].event.detail}."


def _find_slow_vms(timeline: _JobTimeline) -> Iterator[str]:
    """Yield a sentence for each slow VM on which runs of the job were started."""
    starts = timeline.select(EventName.RUN_ORDERED)
    vms = {start.event.vm for start in starts}
    details: dict[str, str] = {}
    n_starts: Counter[str] = Counter()
    reasons: dict[str, str] = {}
    for event in timeline.all:
        vm = event.event.vm
        if vm not in vms:
            continue
        if event.event.name is EventName.VM_SLOW:
            details[vm] = event.event.detail
        elif event.event.name is EventName.VM_NORMAL:
            details.pop(vm, None)
        elif vm in details and event in starts:
            n_starts[vm] += 1
            reasons[vm] = details[vm]
    for vm, count in n_starts.items():
        yield f"{count} runs were started on {vm}, which was slow: {reasons[vm]}."


def _find_lost_runs(timeline: _JobTimeline) -> Iterator[str]:
    """Yield a sentence for each run that was lost or stopped before its end."""
    for end in timeline.select(EventName.RUN_ENDED):
        run_end = end.event.detail.split(";")[0]
        if run_end.endswith((" lost", " lapsed", " broken")):
            yield f"A run on {end.event.vm} did not end by itself: {run_end}."
    for stop in timeline.select(EventName.RUN_PREEMPTED):
        yield f"A run on {stop.event.vm} was stopped: {stop.event.detail}."


def _find_evacuations(timeline: _JobTimeline) -> Iterator[str]:
    """Yield sentences for what evacuations of data centres did to a job."""
    for withdrawal in timeline.select(EventName.START_WITHDRAWN):
        detail = withdrawal.event.detail
        yield f"A start on {withdrawal.event.vm} was withdrawn: {detail}."
    for move in timeline.select(EventName.EVACUATION_MOVE):
        yield f"A run on {move.event.vm} was stopped to move: {move.event.detail}."
    accepted = timeline.select(EventName.JOB_ACCEPTED)
    if not accepted:
        return
    starts = timeline.select(EventName.RUN_ORDERED)
    last_time = starts[0].time if starts else None
    if last_time and last_time - accepted[0].time < MIN_REPORTED_WAIT:
        return
    # Those that had ended before the job was accepted had no effect on it.
    in_progress: dict[str, None] = {}
    for event in timeline.all:
        if last_time and event.time > last_time:
            break
        if event.event.name is EventName.EVACUATION_STARTED:
            in_progress[event.event.detail] = None
        elif (
            event.event.name is EventName.EVACUATION_FINISHED
            and event.time < accepted[0].time
        ):
            in_progress.pop(event.event.detail, None)
    if in_progress:
        yield f"During the wait nothing was started in {', '.join(in_progress)}."


def _find_crashes(timeline: _JobTimeline) -> Iterator[str]:
    """Yield a sentence for a job that failed since its task crashed VMs."""
    for end in timeline.select(EventName.RUN_ENDED):
        run_end, *rest = end.event.detail.split("; ")
        if run_end.endswith(" lost") and rest[:1] == ["job failed"] and rest[1:]:
            yield f"The job was given up, as it crashes VMs; {rest[1]}."
            return
    for failure in timeline.select(EventName.JOB_FAILED):
        yield f"The job was given up, as it crashes VMs; {failure.event.detail}."
        return


def _find_failures(timeline: _JobTimeline) -> Iterator[str]:
    """Yield sentences for the failed runs, and for VMs that were ejected."""
    failures = [
        end
        for end in timeline.select(EventName.RUN_ENDED)
        if end.event.detail.split(";")[0].endswith(" failed")
    ]
    if not failures:
        return
    vms = sorted({end.event.vm for end in failures})
    yield f"{len(failures)} runs failed, on {', '.join(vms)}."
    if any(end.event.detail.endswith("job failed") for end in failures):
        yield (
            "The job reached the limit of failures of its queue"
            + (", on different VMs: it can't succeed." if len(vms) > 1 else ".")
        )
    avoided = {e.event.vm for e in timeline.all if e.event.name is EventName.VM_AVOIDED}
    for vm in sorted(avoided.intersection(vms)):
        yield f"{vm} was ejected, since it fails runs: the VM is at fault."


def _find_cancellation(timeline: _JobTimeline) -> Iterator[str]:
    for event in timeline.select(EventName.JOB_CANCELLED):
        yield f"It was cancelled {event.event.detail}."


_CAUSE_FINDERS: tuple[Callable[[_JobTimeline], Iterator[str]], ...] = (
    _find_refusals,
    _find_waits,
    _find_evacuations,
    _find_rack_waits,
    _find_slow_vms,
    _find_lost_runs,
    _find_crashes,
    _find_failures,
    _find_cancellation,
)
