"""Reboot orders that are under way, and the words on them."""

from datetime import timedelta

from ..peers._messages import RebootDone, RebootOrder
from ._settings import WaveSettings

__all__ = ["RebootTracker"]


class _RebootState:
    """What is known of one reboot operation."""

    __slots__ = ("done", "n_refusals", "ordered_at")

    def __init__(self, ordered_at: timedelta) -> None:
        self.done = False
        self.n_refusals = 0
        self.ordered_at = ordered_at


class RebootTracker:
    """The reboot operations that the planner has ordered or heard of.

    One entry's refusal does not tell that no other entry has the reboot under way.
    So a VM is given back unrebooted only when refusals repeat, and only after the
    last order has surely been given up by whoever holds it.

    Parameters
    ----------
    settings : WaveSettings
        Number of refusals, and how long an order may be held.
    """

    __slots__ = ("_settings", "_states")

    def __init__(self, settings: WaveSettings) -> None:
        self._settings = settings
        self._states: dict[str, _RebootState] = {}

    def note_order(self, order: RebootOrder, now: timedelta) -> None:
        """Remember that an order is sent."""
        reboot = self._states.setdefault(order.operation_id, _RebootState(now))
        reboot.ordered_at = now

    def note_answer(self, msg: RebootDone, now: timedelta) -> None:
        """Take an entry's word."""
        reboot = self._states.setdefault(msg.operation_id, _RebootState(now))
        if msg.accepted:
            reboot.done = True
        else:
            reboot.n_refusals += 1

    def is_done(self, operation_id: str) -> bool:
        """Return whether the reboot is done."""
        reboot = self._states.get(operation_id)
        return reboot is not None and reboot.done

    def is_refused(self, operation_id: str) -> bool:
        """Return whether to order no more."""
        reboot = self._states.get(operation_id)
        return (
            reboot is not None
            and not reboot.done
            and reboot.n_refusals >= self._settings.n_refusals
        )

    def is_given_up(self, operation_id: str, now: timedelta) -> bool:
        """Return whether the reboot will surely not happen any more."""
        if not self.is_refused(operation_id):
            return False
        time_since_order = now - self._states[operation_id].ordered_at
        return time_since_order >= self._settings.refusal_wait

    def retain(self, operations: set[str]) -> None:
        """Forget all other operations."""
        self._states = {
            key: order for key, order in self._states.items() if key in operations
        }
