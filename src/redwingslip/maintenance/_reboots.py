"""Reboot orders in flight and the answers to them."""

from datetime import timedelta

from ..peers._messages import RebootDone, RebootOrder
from ._settings import WaveSettings

__all__ = ["RebootTracker"]


class _RebootState:
    """The known state of one reboot operation."""

    __slots__ = ("done", "n_refusals", "ordered_at")

    def __init__(self, ordered_at: timedelta) -> None:
        self.done = False
        self.n_refusals = 0
        self.ordered_at = ordered_at


class RebootTracker:
    """Tracks the reboot operations that were ordered or answered.

    A refusal from one entry does not rule out that another entry is carrying out the
    reboot. A VM is therefore returned to service without a reboot only after repeated
    refusals, and only after the longest time that an entry or the platform may hold the
    last order.

    Parameters
    ----------
    settings : WaveSettings
        Number of refusals, and the time for which an order may be held.
    """

    __slots__ = ("_settings", "_states")

    def __init__(self, settings: WaveSettings) -> None:
        self._settings = settings
        self._states: dict[str, _RebootState] = {}

    def note_order(self, order: RebootOrder, now: timedelta) -> None:
        """Record that an order is sent."""
        reboot = self._states.setdefault(order.operation_id, _RebootState(now))
        reboot.ordered_at = now

    def note_answer(self, msg: RebootDone, now: timedelta) -> None:
        """Record an entry's answer."""
        reboot = self._states.setdefault(msg.operation_id, _RebootState(now))
        if msg.accepted:
            reboot.done = True
        else:
            reboot.n_refusals += 1

    def is_done(self, operation_id: str) -> bool:
        """Return whether an entry has reported the reboot as done."""
        reboot = self._states.get(operation_id)
        return reboot is not None and reboot.done

    def is_refused(self, operation_id: str) -> bool:
        """Return whether the reboot was refused too often to be ordered again."""
        reboot = self._states.get(operation_id)
        return (
            reboot is not None
            and not reboot.done
            and reboot.n_refusals >= self._settings.n_refusals
        )

    def is_given_up(self, operation_id: str, now: timedelta) -> bool:
        """Return whether the last order has expired after repeated refusals."""
        if not self.is_refused(operation_id):
            return False
        time_since_order = now - self._states[operation_id].ordered_at
        return time_since_order >= self._settings.refusal_wait

    def retain(self, operations: set[str]) -> None:
        """Discard all operations except these."""
        self._states = {
            key: reboot for key, reboot in self._states.items() if key in operations
        }
