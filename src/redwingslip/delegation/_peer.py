"""What the leader knows of one delegate."""

import asyncio
from datetime import timedelta

from ..peers import OrderReply, OrderResult, VmOrder
from ._outbox import Outbox

__all__ = ["Delegate"]


class _Pending:
    """An order that waits for its reply."""

    __slots__ = ("deadline", "fut")

    def __init__(self, fut: asyncio.Future, deadline: timedelta) -> None:
        self.fut = fut
        self.deadline = deadline


class Delegate:
    """A delegate that renews its lease, and its orders in progress.

    Parameters
    ----------
    outbox : Outbox
        Sends the orders.
    now : timedelta
        Monotonic time.

    Attributes
    ----------
    renewed_at : timedelta
        Time of its last request for a lease.
    rests_until : timedelta
        It is to get no new orders before this time.
    is_leaving : bool
        Whether it has returned its lease; it finishes the orders that it has.
    """

    __slots__ = ("_outbox", "_pending", "is_leaving", "renewed_at", "rests_until")

    def __init__(self, outbox: Outbox, now: timedelta) -> None:
        self._outbox = outbox
        self._pending: dict[int, _Pending] = {}
        self.renewed_at = now
        self.rests_until = now
        self.is_leaving = False

    async def exchange(self, order: VmOrder, deadline: timedelta) -> OrderReply:
        """Send an order and return the reply, or an unknown outcome."""
        fut = asyncio.get_running_loop().create_future()
        self._pending[order.number] = _Pending(fut, deadline)
        self._outbox.add(order)
        try:
            return await fut
        finally:
            del self._pending[order.number]

    def resolve(self, reply: OrderReply) -> None:
        """Handle the reply to an order; late ones are ignored."""
        pending = self._pending.get(reply.number)
        if pending is not None and not pending.fut.done():
            pending.fut.set_result(reply)

    def fail_overdue(self, now: timedelta, detail: str) -> None:
        """Resolve the orders whose deadline is over with an unknown outcome."""
        for number, pending in self._pending.items():
            if now >= pending.deadline:
                self.resolve(OrderReply(number, OrderResult.UNKNOWN, detail=detail))

    def close(self, detail: str) -> None:
        """Resolve all orders in progress with an unknown outcome."""
        self._outbox.close()
        for number in self._pending:
            self.resolve(OrderReply(number, OrderResult.UNKNOWN, detail=detail))
