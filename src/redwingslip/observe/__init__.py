"""Event logs, the time line that merges them, and metrics."""

from ._events import Event, EventName, EventSink, NullSink
from ._explain import Explanation, explain
from ._gc_pauses import GcPauses
from ._log import EventLog
from ._metrics import Metrics, metrics_text, new_metrics
from ._render import render_picture, render_text
from ._timeline import TimelineFilter, merge_timeline
from ._timeline_event import TimelineEvent
from .exceptions import TimelineError

__all__ = [
    "Event",
    "EventLog",
    "EventName",
    "EventSink",
    "Explanation",
    "GcPauses",
    "Metrics",
    "NullSink",
    "TimelineError",
    "TimelineEvent",
    "TimelineFilter",
    "explain",
    "merge_timeline",
    "metrics_text",
    "new_metrics",
    "render_picture",
    "render_text",
]
