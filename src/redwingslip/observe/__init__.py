"""Events, logs, the time line and metrics."""

from ._events import Event, EventName, EventSink, NullSink

__all__ = ["Event", "EventName", "EventSink", "NullSink"]
