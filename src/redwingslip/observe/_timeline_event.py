"""An event as it stands in the time line."""

from datetime import datetime

import msgspec

from ._events import Event

__all__ = ["TimelineEvent"]


class TimelineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event with the process that wrote it.

    Attributes
    ----------
    process : str
        Name of the process.
    run : str
        Tells the runs of one process apart.
    sequence : int
        Counts the events of a run.
    time : datetime
        Wall-clock time at the process.
    """

    process: str
    run: str
    sequence: int
    time: datetime
    event: Event
