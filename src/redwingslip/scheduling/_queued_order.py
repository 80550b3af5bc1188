"""An order to one incarnation of a VM, as its sender keeps it."""

import msgspec

from ..jobs import ActiveRun, TaskKey

__all__ = ["QueuedOrder"]


class QueuedOrder(msgspec.Struct):
    """An order to start or stop a run that is queued or in flight.

    Attributes
    ----------
    n_lost : int
        Calls whose outcome is unknown, so that a copy may still be in flight. A call
        that an earlier leader may have sent counts as one.
    withdraws_start : bool
        Whether this stop withdraws a start that the VM may still receive.
    """

    key: TaskKey
    number: int
    is_stop: bool
    run: ActiveRun | None = None
    ticket: str = ""
    n_lost: int = 0
    withdraws_start: bool = False
