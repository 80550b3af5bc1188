"""A controller's side of the delegation: it carries out orders of the leader."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial, singledispatchmethod

from ..clock import Clock
from ..peers import (
    DelegateLease,
    DelegateLeaseRecall,
    DelegateLeaseRequest,
    DelegateLeaseReturn,
    HoldOrder,
    Message,
    OrderBatch,
    OrderReplies,
    OrderReply,
    OrderResult,
    RequestNumbers,
    StartOrder,
    StopOrder,
    VmOrder,
)
from ..scheduling import (
    OrderNotSentError,
    VmOrders,
    VmReplacedError,
)
from ._outbox import Outbox
from ._settings import DelegationSettings

__all__ = ["OrderDelegate"]

# A controller's word that it takes requests counts for this long; the process at its
# address may since have been replaced by an earlier version.
VERSION_LIFETIME = timedelta(seconds=10)


_RESULTS = {
    OrderNotSentError: OrderResult.NOT_SENT,
    VmReplacedError: OrderResult.REPLACED,
}


class OrderDelegate:
    """Carries out the leader's orders while it holds a lease of the leader.

    The lease counts from the time at which this process requested it. After a pause of
    the process it has therefore ended before any order is read that arrived meanwhile.

    Parameters
    ----------
    own_id : str
        Id of this process.
    orders : VmOrders
        Client of the endpoints.
    leader_id : callable
        Returns the id of the leader that this process knows, empty for none.
    current_term : callable
        Returns the highest term that this process knows.
    send : callable
        Called with a process id and a message; the message may be lost.
    clock : Clock
        The process's clock.
    cfg : DelegationSettings
        The settings.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_current_term",
        "_fence",
        "_granted_by",
        "_is_resigned",
        "_leader_id",
        "_lease_end",
        "_numbers",
        "_orders",
        "_outboxes",
        "_own_id",
        "_recalled_fence",
        "_requested_at",
        "_send",
        "_tasks",
        "_willing",
    )

    def __init__(
        self,
        *,
        own_id: str,
        orders: VmOrders,
        leader_id: Callable[[], str],
        current_term: Callable[[], int],
        send: Callable[[str, Message], None],
        clock: Clock,
        cfg: DelegationSettings,
    ) -> None:
        self._own_id = own_id
        self._orders = orders
        self._leader_id = leader_id
        self._current_term = current_term
        self._send = send
        self._clock = clock
        self._cfg = cfg
        self._fence = 0
        self._recalled_fence = 0
        self._granted_by = ""
        self._lease_end = clock.monotonic()
        self._numbers = RequestNumbers()
        self._requested_at: dict[int, timedelta] = {}
        self._outboxes: dict[tuple[str, int], Outbox] = {}
        self._tasks: set[asyncio.Task] = set()
        # Controllers that take requests for a lease, with the time of their last word.
        self._willing: dict[str, timedelta] = {}
        self._is_resigned = False

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        interval = self._cfg.renew_interval
        lag = timedelta(0)
        while True:
            self.renew(lag)
            due_at = self._clock.monotonic() + interval
            await asyncio.sleep(interval.total_seconds())
            lag = max(timedelta(0), self._clock.monotonic() - due_at)

    def renew(self, lag: timedelta = timedelta(0)) -> None:
        """Request a lease of the known leader, if it is another and takes delegates."""
        now = self._clock.monotonic()
        horizon = now - self._cfg.silence
        for number, at in list(self._requested_at.items()):
            if at < horizon:
                del self._requested_at[number]
        leader_id = self._leader_id()
        if leader_id == self._own_id or self._is_resigned:
            return
        willing_at = self._willing.get(leader_id)
        if willing_at is None or now - willing_at > VERSION_LIFETIME:
            return
        number = self._numbers.next()
        self._requested_at[number] = now
        request = DelegateLeaseRequest(number=number, fence=self._held_fence(), lag=lag)
        self._send(leader_id, request)

    def note_version(self, peer_id: str, *, takes_delegates: bool) -> None:
        """Record whether a controller understands requests for a lease."""
        if takes_delegates:
            self._willing[peer_id] = self._clock.monotonic()
        else:
            self._willing.pop(peer_id, None)

    async def resign(self, patience: timedelta) -> None:
        """Return the lease, and finish the orders in progress within `patience`."""
        self._is_resigned = True
        self._lease_end = self._clock.monotonic()
        if self._granted_by:
            lease_return = DelegateLeaseReturn(fence=self._fence)
            self._send(self._granted_by, lease_return)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=patience.total_seconds())
            # The last replies are sent with a delay.
            await asyncio.sleep(2 * self._cfg.batch_delay.total_seconds())

    def close(self) -> None:
        """Give up the orders in progress."""
        for task in tuple(self._tasks):
            task.cancel()
        for outbox in self._outboxes.values():
            outbox.close()

    def receive_lease(self, sender_id: str, msg: DelegateLease) -> None:
        """Handle a lease that the leader has granted."""
        requested_at = self._requested_at.pop(msg.number, None)
        if requested_at is None or msg.fence < self._fence:
            return
        if msg.fence <= self._recalled_fence:
            return
        held_fence = self._held_fence()
        if msg.fence > self._fence:
            self._lease_end = requested_at
            self._outboxes.clear()
        self._fence = msg.fence
        self._granted_by = sender_id
        self._lease_end = max(self._lease_end, requested_at + msg.duration)
        if self._held_fence() != held_fence:
            # The leader sends orders only once it knows that the lease has arrived.
            self.renew()

    def receive_recall(self, sender_id: str, msg: DelegateLeaseRecall) -> None:
        """End the lease of a term for good, and confirm that."""
        self._recalled_fence = max(self._recalled_fence, msg.fence)
        if self._fence <= msg.fence:
            self._lease_end = self._clock.monotonic()
        self._send(sender_id, DelegateLeaseReturn(fence=msg.fence))

    def receive_orders(self, sender_id: str, msg: OrderBatch) -> None:
        """Start to carry out orders; what must not be sent is refused at once."""
        outbox = self._outbox(sender_id, msg.fence)
        for order in msg.orders:
            if not self._holds_lease(sender_id, msg.fence):
                outbox.add(OrderReply(order.number, OrderResult.NO_LEASE))
            elif len(self._tasks) >= self._cfg.max_in_flight:
                detail = "too many orders in progress"
                outbox.add(
                    OrderReply(order.number, OrderResult.NOT_SENT, detail=detail)
                )
            else:
                task = asyncio.create_task(self._carry_out(order, msg.fence, outbox))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _held_fence(self) -> int:
        """Return the term of the lease that this process holds, 0 for none."""
        return self._fence if self._holds_lease(self._granted_by, self._fence) else 0

    def _holds_lease(self, leader_id: str, fence: int) -> bool:
        return (
            not self._is_resigned
            and self._granted_by == leader_id
            and self._fence == fence
            and self._current_term() <= fence
            and self._clock.monotonic() < self._lease_end
        )

    def _outbox(self, leader_id: str, fence: int) -> Outbox:
        outbox = self._outboxes.get((leader_id, fence))
        if outbox is None:
            send = partial(self._send_replies, leader_id, fence)
            outbox = Outbox(self._cfg.batch_delay, send)
            self._outboxes[(leader_id, fence)] = outbox
        return outbox

    def _send_replies(
        self, leader_id: str, fence: int, replies: tuple[OrderReply, ...]
    ) -> None:
        self._send(leader_id, OrderReplies(fence=fence, replies=replies))

    async def _carry_out(self, order: VmOrder, fence: int, outbox: Outbox) -> None:
        if not self._holds_lease(self._granted_by, fence):
            # It was recalled, or has ended, since the order was received.
            outbox.add(OrderReply(order.number, OrderResult.NO_LEASE))
            return
        try:
            reply = await self._call(order, fence)
        except Exception as exc:
            result = _RESULTS.get(type(exc), OrderResult.UNKNOWN)
            # Text of a VM may not be encodable.
            detail = ascii(exc)
            reply = OrderReply(order.number, result, detail=detail)
        outbox.add(reply)

    @singledispatchmethod
    async def _call(self, order: VmOrder, fence: int) -> OrderReply:
        raise TypeError(f"{type(order).__name__} is no order")

    @_call.register
    async def _(self, order: HoldOrder, fence: int) -> OrderReply:
        report = await self._orders.hold(
            order.vm,
            fence=fence,
            cursor=order.cursor,
            until_ms=order.until_ms,
            wait_ms=order.wait_ms,
        )
        return OrderReply(order.number, OrderResult.ANSWERED, hold=report)

    @_call.register
    async def _(self, order: StartOrder, fence: int) -> OrderReply:
        outcome = await self._orders.start(
            order.vm,
            order.run,
            payload=order.payload,
            ticket=order.ticket,
            fence=fence,
            until_ms=order.until_ms,
        )
        return OrderReply(order.number, OrderResult.ANSWERED, start=outcome)

    @_call.register
    async def _(self, order: StopOrder, fence: int) -> OrderReply:
        await self._orders.stop(order.vm, order.key, order.run_number, fence=fence)
        return OrderReply(order.number, OrderResult.ANSWERED)
