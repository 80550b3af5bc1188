"""Status of a wave for operators, and events on changes of its phase."""

import enum
from datetime import timedelta

import msgspec
from transitions import Machine

from ..observe._events import Event, EventName, EventSink

__all__ = ["WavePhase", "WavePhaseTracker", "WaveStatus"]


class WavePhase(enum.StrEnum):
    """The phases of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    HELD = "held"
    DONE = "done"


class WaveStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a wave and an estimate of its remaining time.

    Attributes
    ----------
    phase : WavePhase
        ``paused`` by the operator, or ``held`` while failures cluster.
    n_pending, n_active, n_done, n_skipped : int
        Counts of VMs as in `WaveRecord`.
    overdue : tuple of str
        VMs that don't serve long after their reboot. They still count against the
        budgets.
    refused : tuple of str
        VMs whose reboot the platform refused.
    remaining : timedelta or None
        Estimated time until the wave ends; None until the first VM has completed its
        maintenance.
    """

    phase: WavePhase
    n_pending: int
    n_active: int
    n_done: int
    n_skipped: int
    overdue: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    remaining: timedelta | None = None


class WavePhaseTracker:
    """Holds the phase of one wave and emits an event on each change.

    Parameters
    ----------
    name : str
        Name of the wave.
    sink : EventSink
        Receives the events.
    """

    __slots__ = ("_sink", "name", "state")

    def __init__(self, name: str, sink: EventSink) -> None:
        self.name = name
        self.state = WavePhase.RUNNING
        self._sink = sink

    def enter(self, phase: WavePhase) -> None:
        """Enter a phase unless the wave is already in it."""
        if phase is not self.state:
            _MACHINE.events[f"to_{phase.name}"].trigger(self)

    def emit_change(self) -> None:
        """Emit an event with the new phase."""
        event = Event(name=EventName.WAVE_CHANGED, wave=self.name, detail=self.state)
        self._sink.emit(event)


_MACHINE = Machine(
    model=None,
    states=WavePhase,
    initial=WavePhase.RUNNING,
    after_state_change="emit_change",
    send_event=False,
)
