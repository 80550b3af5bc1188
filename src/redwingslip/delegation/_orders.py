"""The leader's side of the delegation: it hands orders to its delegates."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import TypeVar

from ..clock import Clock
from ..jobs import ActiveRun, TaskKey, VmRecord
from ..observe import Event, EventName, EventSink, Metrics
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
    StartOrder,
    StopOrder,
    VmOrder,
)
from ..scheduling import (
    HoldReport,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    StartOutcome,
    VmOrders,
    VmReplacedError,
)
from ._outbox import Outbox
from ._peer import Delegate
from ._routes import Routes
from ._settings import DelegationSettings

__all__ = ["DelegatedOrders"]

Answer = TypeVar("Answer")

MS = timedelta(milliseconds=1)
CHECK_INTERVAL = timedelta(milliseconds=50)
# A check that comes later than this has not read what arrived meanwhile.
MAX_CHECK_LAG = timedelta(milliseconds=100)


class DelegatedOrders:
    """Has other controllers call the VMs during one term; implements `VmOrders`.

    Without delegates, the leader calls the VMs itself. A delegate may act for a part of
    the leader's own lease only, so that orders of two terms never overlap.

    Parameters
    ----------
    own_id : str
        Id of the leader.
    own : VmOrders
        The leader's own client of the endpoints.
    fence : int
        The leader's term.
    lease_remaining : callable
        Returns for how much longer no other process can lead.
    n_delegates : callable
        Returns how many delegates may be expected.
    send : callable
        Called with a process id and a message; the message may be lost.
    clock : Clock
        The process's clock.
    events : EventSink
        Receives the events.
    metrics : Metrics
        Receives the number of calls.
    cfg : DelegationSettings
        The settings.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_delegates",
        "_events",
        "_fence",
        "_granted_until",
        "_has_returned",
        "_is_withdrawn",
        "_last_number",
        "_lease_remaining",
        "_lessees",
        "_metrics",
        "_n_delegated",
        "_n_delegates",
        "_n_own",
        "_own",
        "_own_id",
        "_routes",
        "_send",
        "_settled",
        "_task",
    )

    def __init__(
        self,
        *,
        own_id: str,
        own: VmOrders,
        fence: int,
        lease_remaining: Callable[[], timedelta],
        n_delegates: Callable[[], int],
        send: Callable[[str, Message], None],
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
        cfg: DelegationSettings,
    ) -> None:
        self._own_id = own_id
        self._own = own
        self._fence = fence
        self._lease_remaining = lease_remaining
        self._n_delegates = n_delegates
        self._send = send
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._routes = Routes(own_id)
        self._delegates: dict[str, Delegate] = {}
        self._granted_until = clock.monotonic()
        # Processes that may hold a lease, also those that were dropped.
        self._lessees: set[str] = set()
        self._has_returned = asyncio.Event()
        self._is_withdrawn = False
        self._last_number = 0
        self._n_own = 0
        self._n_delegated = 0
        self._settled = asyncio.Event()
        self._task: asyncio.Task | None = None

    def begin(self) -> None:
        """Start to accept delegates and to check them."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._cfg.settle_time.total_seconds(), self._settled.set)
        self._task = asyncio.create_task(self._check_forever(), name="delegates")
        self._note_settled()

    def close(self) -> None:
        """Give up all orders in progress."""
        if self._task is not None:
            self._task.cancel()
        self._settled.set()
        for delegate_id in list(self._delegates):
            self._drop(delegate_id, "the term has ended")

    async def withdraw(self) -> None:
        """Recall the leases, and wait until none is left.

        No further order of this term is sent by a delegate. A lease that is not
        returned ends by its time.
        """
        self._is_withdrawn = True
        self._settled.set()
        for delegate_id in self._lessees:
            self._send(delegate_id, DelegateLeaseRecall(fence=self._fence))
        remaining = self._granted_until - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                while self._lessees:
                    self._has_returned.clear()
                    await self._has_returned.wait()
        except TimeoutError:
            return

    def receive_return(self, sender_id: str, msg: DelegateLeaseReturn) -> None:
        """Note that a delegate has returned its lease."""
        if msg.fence == self._fence:
            self._lessees.discard(sender_id)
            self._has_returned.set()

    # Leases.

    def receive_request(self, sender_id: str, msg: DelegateLeaseRequest) -> None:
        """Grant a lease within the leader's own lease.

        A process counts as a delegate only while its requests show that leases of this
        term reach it in time.
        """
        remaining = self._lease_remaining()
        if self._is_withdrawn or remaining <= timedelta(0):
            return
        now = self._clock.monotonic()
        self._granted_until = max(self._granted_until, now + remaining)
        self._lessees.add(sender_id)
        lease = DelegateLease(number=msg.number, fence=self._fence, duration=remaining)
        self._send(sender_id, lease)
        if msg.fence == self._fence:
            self._note_renewal(sender_id, now)
        elif sender_id in self._delegates:
            self._drop(sender_id, "it holds no lease")

    def _note_renewal(self, sender_id: str, now: timedelta) -> None:
        delegate = self._delegates.get(sender_id)
        if delegate is None:
            delegate = self._add(sender_id, now)
        delegate.renewed_at = now
        if msg.lag > self._cfg.max_lag:
            delegate.rests_until = now + self._cfg.rest_time
            self._update_routes(now)

    def _add(self, delegate_id: str, now: timedelta) -> Delegate:
        outbox = Outbox(self._cfg.batch_delay, partial(self._send_batch, delegate_id))
        delegate = Delegate(outbox, now)
        self._delegates[delegate_id] = delegate
        self._update_routes(now)
        self._emit(EventName.DELEGATE_JOINED, delegate_id)
        self._note_settled()
        return delegate

    def _update_routes(self, now: timedelta) -> None:
        """Route orders to the delegates that don't rest, or to all if all rest."""
        rested = [
            name
            for name, delegate in self._delegates.items()
            if delegate.rests_until <= now
        ]
        self._routes.update(rested or self._delegates)

    def _note_settled(self) -> None:
        if len(self._delegates) >= self._n_delegates():
            self._settled.set()

    async def _check_forever(self) -> None:
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            is_late = now - due_at > MAX_CHECK_LAG
            self.check(now, is_late=is_late)
            self._count_calls()

    def _count_calls(self) -> None:
        """Add the calls since the last check to the metrics."""
        self._metrics.add_vm_calls(self._n_own, caller="leader")
        self._metrics.add_vm_calls(self._n_delegated, caller="delegate")
        self._n_own = self._n_delegated = 0

    def check(self, now: timedelta, *, is_late: bool = False) -> None:
        """Drop silent delegates, and give up orders without a reply.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        is_late : bool
            Whether this process itself was paused, so that messages may wait unread.
        """
        for delegate_id, delegate in list(self._delegates.items()):
            if is_late:
                delegate.renewed_at = max(
                    delegate.renewed_at, now - self._cfg.renew_interval
                )
            if now - delegate.renewed_at > self._cfg.silence:
                self._drop(delegate_id, "it does not renew its lease")
                continue
            if not is_late:
                delegate.fail_overdue(now, f"no reply from delegate {delegate_id}")
        self._update_routes(now)

    def _drop(self, delegate_id: str, reason: str) -> None:
        delegate = self._delegates.pop(delegate_id)
        delegate.close(f"delegate {delegate_id}: {reason}")
        self._update_routes(self._clock.monotonic())
        self._emit(EventName.DELEGATE_LOST, delegate_id, reason)

    # Orders.

    async def hold(
        self,
        vm: VmRecord,
        *,
        fence: int,
        cursor: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> HoldReport:
        """Poll a VM; see `VmOrders`."""
        delegate = await self._delegate_of(vm)
        if delegate is None:
            return await self._call_myself(
                vm,
                self._own.hold(
                    vm, fence=fence, cursor=cursor, until_ms=until_ms, wait_ms=wait_ms
                ),
            )
        order = HoldOrder(self._next_number(), _identity(vm), cursor, until_ms, wait_ms)
        reply = await self._exchange(vm, delegate, order, wait_ms * MS)
        return reply.hold

    async def start(
        self,
        vm: VmRecord,
        run: ActiveRun,
        *,
        payload: str,
        ticket: str,
        fence: int,
        until_ms: int,
    ) -> StartOutcome:
        """Start a run; see `VmOrders`."""
        delegate = await self._delegate_of(vm)
        if delegate is None:
            return await self._call_myself(
                vm,
                self._own.start(
                    vm,
                    run,
                    payload=payload,
                    ticket=ticket,
                    fence=fence,
                    until_ms=until_ms,
                ),
            )
        order = StartOrder(
            self._next_number(), _identity(vm), run, payload, ticket, until_ms
        )
        reply = await self._exchange(vm, delegate, order)
        return reply.start

    async def stop(
        self, vm: VmRecord, key: TaskKey, number: int, *, fence: int
    ) -> None:
        """Stop a run; see `VmOrders`."""
        delegate = await self._delegate_of(vm)
        if delegate is None:
            await self._call_myself(vm, self._own.stop(vm, key, number, fence=fence))
            return
        order = StopOrder(self._next_number(), _identity(vm), key, number)
        await self._exchange(vm, delegate, order)

    async def _call_myself(self, vm: VmRecord, call: Awaitable[Answer]) -> Answer:
        self._n_own += 1
        try:
            return await call
        except (OrderNotSentError, OrderOutcomeUnknownError):
            self._routes.note_failure(vm.vm_id, self._own_id)
            raise

    async def _delegate_of(self, vm: VmRecord) -> str | None:
        """Return the delegate that calls a VM; None for the leader itself."""
        if not self._settled.is_set():
            await self._settled.wait()
        if self._is_withdrawn and self._delegates:
            # The next leader is about to call; connections of this one would be new.
            raise OrderNotSentError("the leader resigns")
        caller = self._routes.caller_of(vm.vm_id)
        return None if caller == self._own_id else caller

    def _next_number(self) -> int:
        self._last_number += 1
        self._n_delegated += 1
        return self._last_number

    async def _exchange(
        self,
        vm: VmRecord,
        delegate_id: str,
        order: VmOrder,
        wait: timedelta = timedelta(0),
    ) -> OrderReply:
        """Hand an order to a delegate and return its reply, or raise its error."""
        delegate = self._delegates[delegate_id]
        deadline = self._clock.monotonic() + wait + self._cfg.reply_timeout
        reply = await delegate.exchange(order, deadline)
        if reply.result in (OrderResult.NOT_SENT, OrderResult.UNKNOWN):
            self._routes.note_failure(vm.vm_id, delegate_id)
        match reply.result:
            case OrderResult.NOT_SENT | OrderResult.NO_LEASE:
                raise OrderNotSentError(reply.detail or reply.result.value)
            case OrderResult.UNKNOWN:
                raise OrderOutcomeUnknownError(reply.detail)
            case OrderResult.REPLACED:
                raise VmReplacedError(reply.detail)
        return reply

    def _send_batch(self, delegate_id: str, orders: tuple[VmOrder, ...]) -> None:
        self._send(delegate_id, OrderBatch(fence=self._fence, orders=orders))

    def receive_replies(self, sender_id: str, msg: OrderReplies) -> None:
        """Handle the replies of a delegate to orders of this term."""
        delegate = self._delegates.get(sender_id)
        if delegate is None or msg.fence != self._fence:
            return
        for reply in msg.replies:
            delegate.resolve(reply)

    def _emit(self, name: EventName, delegate_id: str, detail: str = "") -> None:
        event = Event(name=name, peer=delegate_id, term=self._fence, detail=detail)
        self._events.emit(event)


def _identity(vm: VmRecord) -> VmRecord:
    """Return the part of a VM's record that a call needs."""
    return VmRecord(vm_id=vm.vm_id, born_ms=vm.born_ms, address=vm.address)
