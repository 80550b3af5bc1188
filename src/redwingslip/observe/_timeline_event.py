"""An event of the time line."""

from datetime import datetime

import msgspec

from ._events import Event

__all__ = ["TimelineEvent"]


class TimelineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event with the process that wrote it and its place in that process's log.

    Attributes
    ----------
    process : str
        Name of the process.
    run : str
        Id of the process's run, which is new after each start.
    sequence : int
        Number of the event within its run.
    time : datetime
        Wall-clock time of the process.
    """

    process: str
    run: str
    sequence: int
    time: datetime
    event: Event
