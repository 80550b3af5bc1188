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
    HoldReport,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    StartOutcome,
    VmOrders,
    VmReplacedError,
)
from ._grants import Grants
from ._outbox import Outbox
from ._peer import Delegate
from ._routes import Routes
from ._settings import DelegationSettings

__all__ = ["DelegatedOrders"]

Answer = TypeVar("Answer")

MS = timedelta(milliseconds=1)
CHECK_INTERVAL = timedelta(milliseconds=50)
# After a pause that is longer, what arrived meanwhile gets time to be read.
MAX_CHECK_LAG = timedelta(milliseconds=100)
READ_TIME = timedelta(milliseconds=5)


class DelegatedOrders:
    """Has other controllers call the VMs during one term; implements `VmOrders`.

    Without delegates, and in a small fleet, the leader calls the VMs itself. A delegate
    may act for a part of the leader's own lease only, so that orders of two terms do
    not overlap.

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
    n_vms : callable
        Returns the number of VMs in the fleet.
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
        "_grants",
        "_is_withdrawn",
        "_lease_remaining",
        "_metrics",
        "_n_delegated",
        "_n_delegates",
        "_n_own",
        "_n_vms",
        "_numbers",
        "_own",
        "_own_id",
        "_refuses_orders",
        "_routes",
        "_send",
        "_settled",
        "_settling",
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
        n_vms: Callable[[], int],
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
        self._n_vms = n_vms
        self._send = send
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._cfg = cfg
        self._routes = Routes(own_id)
        self._delegates: dict[str, Delegate] = {}
        self._grants = Grants(fence, send, clock)
        self._is_withdrawn = False
        self._refuses_orders = False
        self._numbers = RequestNumbers()
        self._n_own = 0
        self._n_delegated = 0
        self._settled = asyncio.Event()
        self._settling: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None

    def begin(self) -> None:
        """Start to accept delegates and to check them."""
        self._task = asyncio.create_task(self._check_forever(), name="delegates")
        self._begin_to_settle()
        self._update_routes(self._clock.monotonic())
        self._note_settled()

    def close(self) -> None:
        """Give up all orders in progress."""
        if self._task is not None:
            self._task.cancel()
        if self._settling is not None:
            self._settling.cancel()
        self._settled.set()
        for delegate_id in list(self._delegates):
            self._drop(delegate_id, "the term has ended")

    async def withdraw(self) -> None:
        """Recall the leases, and wait until none is left.

        No further order of this term is sent by a delegate. A lease that is not
        returned ends by its time.
        """
        # The next leader is about to call; connections of this one would be new.
        self._refuses_orders = self._grants.has_any
        self._is_withdrawn = True
        self._settled.set()
        await self._grants.recall()

    def receive_return(self, sender_id: str, msg: DelegateLeaseReturn) -> None:
        """Note that a delegate has returned its lease; it gets no further orders."""
        if msg.fence != self._fence:
            return
        self._grants.note_return(sender_id)
        delegate = self._delegates.get(sender_id)
        if delegate is not None:
            delegate.is_leaving = True
            self._update_routes(self._clock.monotonic())

    # Leases.

    def receive_request(self, sender_id: str, msg: DelegateLeaseRequest) -> None:
        """Grant a lease within the leader's own lease.

        A process counts as a delegate only while its requests show that leases of this
        term reach it in time.
        """
        now = self._clock.monotonic()
        remaining = self._lease_remaining()
        if remaining <= timedelta(0):
            # The delegates' leases are over as well, and come back with this one.
            self._begin_to_settle()
            self._note_settled()
        elif not self._is_withdrawn:
            self._grants.grant(sender_id, msg.number, remaining)
        if msg.fence == self._fence:
            self._note_renewal(sender_id, msg.lag, now)
        elif sender_id in self._delegates:
            self._drop(sender_id, "it holds no lease")

    def _note_renewal(self, delegate_id: str, lag: timedelta, now: timedelta) -> None:
        delegate = self._delegates.get(delegate_id)
        if delegate is None:
            delegate = self._add(delegate_id, now)
        delegate.renewed_at = now
        if lag > self._cfg.max_lag:
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
        staying = [
            name
            for name, delegate in self._delegates.items()
            if not delegate.is_leaving
        ]
        rested = [name for name in staying if self._delegates[name].rests_until <= now]
        is_leader_first = self._n_vms() < self._cfg.min_vms
        self._routes.update(rested or staying, is_leader_first=is_leader_first)

    def _begin_to_settle(self) -> None:
        """Have calls wait for the delegates for a short time."""
        if self._settling is not None:
            self._settling.cancel()
        self._settled.clear()
        self._settling = asyncio.get_running_loop().call_later(
            self._cfg.settle_time.total_seconds(), self._settled.set
        )

    def _note_settled(self) -> None:
        has_all = len(self._delegates) >= self._n_delegates()
        if has_all or self._n_vms() < self._cfg.min_vms:
            self._settled.set()

    async def _check_forever(self) -> None:
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            lag = self._clock.monotonic() - due_at
            if lag > MAX_CHECK_LAG:
                # What arrived meanwhile is read first.
                await asyncio.sleep(READ_TIME.total_seconds())
            self.check(self._clock.monotonic(), lag=max(lag, timedelta(0)))
            self._count_calls()

    def _count_calls(self) -> None:
        """Add the calls since the last check to the metrics."""
        self._metrics.add_vm_calls(self._n_own, caller="leader")
        self._metrics.add_vm_calls(self._n_delegated, caller="delegate")
        self._n_own = self._n_delegated = 0

    def check(self, now: timedelta, *, lag: timedelta = timedelta(0)) -> None:
        """Drop silent delegates, and give up orders without a reply.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        lag : timedelta
            Time for which this process itself was paused; it counts as no silence.
        """
        for delegate_id, delegate in list(self._delegates.items()):
            delegate.renewed_at = min(now, delegate.renewed_at + lag)
            if now - delegate.renewed_at > self._cfg.silence:
                self._drop(delegate_id, "it does not renew its lease")
            else:
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
            self._note_failure(vm, self._own_id)
            raise

    async def _delegate_of(self, vm: VmRecord) -> str | None:
        """Return the delegate that calls a VM; None for the leader itself."""
        if not self._settled.is_set():
            await self._settled.wait()
            if self._lease_remaining() <= timedelta(0):
                raise OrderNotSentError("the leader's lease has ended")
        if self._refuses_orders:
            raise OrderNotSentError("the leader resigns")
        caller = self._routes.caller_of(vm.vm_id, self._clock.monotonic())
        return None if caller == self._own_id else caller

    def _note_failure(self, vm: VmRecord, caller: str) -> None:
        until = self._clock.monotonic() + self._cfg.detour_time
        self._routes.avoid(vm.vm_id, caller, until)

    def _next_number(self) -> int:
        self._n_delegated += 1
        return self._numbers.next()

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
        if reply.result not in (OrderResult.ANSWERED, OrderResult.REPLACED):
            self._note_failure(vm, delegate_id)
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
