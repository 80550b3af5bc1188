"""Reboot orders that are under way, and the words on them."""

from datetime import timedelta

from ..peers._messages import RebootDone, RebootOrder
from ._settings import WaveSettings

__all__ = ["Reboots"]


class _Order:
    """What is known of one reboot operation."""

    __slots__ = ("done", "n_refusals", "ordered_at")

    def __init__(self, ordered_at: timedelta) -> None:
        self.done = False
        self.n_refusals = 0
        self.ordered_at = ordered_at


class Reboots:
    """The reboot operations that the planner has ordered or heard of.

    One entry's refusal does not tell that no other entry has the reboot under way.
    So a VM is given back unrebooted only when refusals repeat, and only after the
    last order has surely been given up by whoever holds it.

    Parameters
    ----------
    settings : WaveSettings
        Number of refusals, and how long an order may be held.
    """

    __slots__ = ("_orders", "_settings")

    def __init__(self, settings: WaveSettings) -> None:
        self._settings = settings
        self._orders: dict[str, _Order] = {}

    def note_order(self, order: RebootOrder, now: timedelta) -> None:
        """Remember that an order is sent."""
        known = self._orders.setdefault(order.operation_id, _Order(now))
        known.ordered_at = now

    def note_answer(self, msg: RebootDone, now: timedelta) -> None:
        """Take an entry's word."""
        known = self._orders.setdefault(msg.operation_id, _Order(now))
        if msg.accepted:
            known.done = True
        else:
            known.n_refusals += 1

    def is_done(self, operation_id: str) -> bool:
        """Return whether the reboot is done."""
        known = self._orders.get(operation_id)
        return known is not None and known.done

    def is_refused(self, operation_id: str) -> bool:
        """Return whether to order no more."""
        known = self._orders.get(operation_id)
        return (
            known is not None
            and not known.done
            and known.n_refusals >= self._settings.n_refusals
        )

    def is_given_up(self, operation_id: str, now: timedelta) -> bool:
        """Return whether the reboot will surely not happen any more."""
        if not self.is_refused(operation_id):
            return False
        since = now - self._orders[operation_id].ordered_at
        return since >= self._settings.refusal_wait

    def keep(self, operations: set[str]) -> None:
        """Forget all other operations."""
        self._orders = {
            key: order for key, order in self._orders.items() if key in operations
        }
