"""The events that processes write to their logs."""

import enum
from typing import Protocol

import msgspec

__all__ = ["Event", "EventName", "EventSink", "NullSink"]


class EventName(enum.StrEnum):
    """Name of an event, as it is written to the log."""

    PROCESS_STARTED = "process.started"
    PROCESS_STOPPED = "process.stopped"
    SETTINGS_RELOADED = "settings.reloaded"
    LEADER_ELECTED = "leader.elected"
    LEADER_STEPPED_DOWN = "leader.stepped_down"
    MEMBER_CHANGED = "member.changed"
    COMMAND_APPLIED = "command.applied"
    LEASE_ACQUIRED = "lease.acquired"
    LEASE_LOST = "lease.lost"
    ENTRY_EXPIRED = "entry.expired"
    DISPATCH_STARTED = "dispatch.started"
    DISPATCH_STOPPED = "dispatch.stopped"
    ENDPOINT_UP = "endpoint.up"
    ENDPOINT_DOWN = "endpoint.down"
    ENDPOINT_EJECTED = "endpoint.ejected"
    REQUEST_RECEIVED = "request.received"
    PERMIT_GRANTED = "permit.granted"
    CALL_SENT = "call.sent"
    CALL_ENDED = "call.ended"
    REQUEST_ANSWERED = "request.answered"
    REQUEST_REFUSED = "request.refused"
    VM_DRAINED = "vm.drained"
    VM_REBOOTED = "vm.rebooted"
    WAVE_CHANGED = "wave.changed"
    JOB_ACCEPTED = "job.accepted"
    JOB_CANCELLED = "job.cancelled"
    JOB_FAILED = "job.failed"
    JOB_REFUSED = "job.refused"
    CONTENTION_BEGUN = "contention.begun"
    CONTENTION_ENDED = "contention.ended"
    CALL_REFUSED = "call.refused"
    RUN_ORDERED = "run.ordered"
    RUN_ENDED = "run.ended"
    RUN_END_UNMATCHED = "run.end_unmatched"
    RUN_PREEMPTED = "run.preempted"
    TASK_WAITING = "task.waiting"
    RACK_WAIT_BEGUN = "rack_wait.begun"
    RACK_WAIT_ENDED = "rack_wait.ended"
    PLAN_CHANGED = "plan.changed"
    VM_NOTED = "vm.noted"
    VM_SILENT = "vm.silent"
    VM_ANSWERED = "vm.answered"
    VM_LOST = "vm.lost"
    VM_AVOIDED = "vm.avoided"
    VM_SLOW = "vm.slow"
    VM_NORMAL = "vm.normal"
    MAINTENANCE_BLOCKED = "maintenance.blocked"
    MAINTENANCE_ORDERED = "maintenance.ordered"
    ADVICE_TAKEN = "advice.taken"
    MACHINE_RECALLED = "machine.recalled"
    MOVE_ORDERED = "move.ordered"
    EVACUATION_STARTED = "evacuation.started"
    EVACUATION_FINISHED = "evacuation.finished"
    EVACUATION_MOVE = "evacuation.move"
    START_WITHDRAWN = "start.withdrawn"
    FORECAST_CHECKED = "forecast.checked"
    RISE_PREDICTED = "rise.predicted"
    RISE_MISSED = "rise.missed"
    LEADER_FOUND = "leader.found"
    LEADER_SILENT = "leader.silent"
    DELEGATE_JOINED = "delegate.joined"
    DELEGATE_LOST = "delegate.lost"
    MEMORY_REFUSED = "memory.refused"
    LINK_UP = "link.up"
    LINK_DOWN = "link.down"
    WARNING = "warning"


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event; a field that does not apply is empty.

    Attributes
    ----------
    index : int
        Index in the replicated log that the event belongs to, 0 for none.
    epoch : int
        Epoch of the dispatcher, 0 for none.
    status : int
        HTTP status, 0 for none.
    detail : str
        Further text for people. It must never hold a key or a request's body.
    """

    name: EventName
    request_id: str = ""
    team: str = ""
    queue: str = ""
    pool: str = ""
    vm: str = ""
    wave: str = ""
    endpoint_id: str = ""
    permit_id: str = ""
    peer: str = ""
    index: int = 0
    epoch: int = 0
    term: int = 0
    status: int = 0
    detail: str = ""


class EventSink(Protocol):
    """Receives events; `EventLog` is the sink that writes them to a log."""

    def emit(self, event: Event) -> None:
        """Receive an event."""


class NullSink:
    """Discards every event."""

    __slots__ = ()

    def emit(self, event: Event) -> None:
        """Discard an event."""
