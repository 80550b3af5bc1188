"""What operators see of a wave besides its record."""

import enum
from datetime import timedelta

import msgspec
from transitions import Machine

from ..observe._events import Event, EventName, EventSink

__all__ = ["WavePhase", "WavePhaseTracker", "WaveStatus"]


class WavePhase(enum.StrEnum):
    """What a wave does."""

    RUNNING = "running"
    PAUSED = "paused"
    HELD = "held"
    DONE = "done"


class WaveStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How far a wave is and when it may end.

    Attributes
    ----------
    phase : WavePhase
        ``paused`` by the operator, ``held`` while failures cluster.
    overdue : tuple of str
        VMs that do not serve again long after their reboot; each keeps its budget.
    refused : tuple of str
        VMs whose reboot the platform refused.
    remaining : timedelta or None
        Estimate of the time to the end; None before a first VM has come back.
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
    """The phase of one wave; each change of it is an event.

    Parameters
    ----------
    name : str
        Name of the wave.
    sink : EventSink
        Takes the events.
    """

    __slots__ = ("_sink", "name", "state")

    def __init__(self, name: str, sink: EventSink) -> None:
        self.name = name
        self.state = WavePhase.RUNNING
        self._sink = sink

    def enter(self, phase: WavePhase) -> None:
        """Enter a phase, if the wave is not in it."""
        if phase is not self.state:
            _MACHINE.events[f"to_{phase.name}"].trigger(self)

    def emit_change(self) -> None:
        """Tell that the phase has changed."""
        event = Event(name=EventName.WAVE_CHANGED, wave=self.name, detail=self.state)
        self._sink.emit(event)


_MACHINE = Machine(
    model=None,
    states=WavePhase,
    initial=WavePhase.RUNNING,
    after_state_change="emit_change",
    send_event=False,
)
