"""Queue of the orders to one incarnation of a VM, which are sent one at a time."""

import asyncio
from collections import deque
from collections.abc import Awaitable
from datetime import timedelta

from ..jobs import ActiveRun, EndKind, RunEnd, TaskKey, VmRecord
from ..observe import EventName
from ..workers import VmHealth, VmLease
from ._agent_settings import VmPolicy
from ._gangs import is_gang_incomplete
from ._ports import StartOutcome, StartResult, VmOrders
from ._queued_order import QueuedOrder
from ._supervise import run_forever
from ._term import Term
from .exceptions import OrderNotSentError, OrderOutcomeUnknownError, VmReplacedError

__all__ = ["OrderSender", "RunId"]

RunId = tuple[TaskKey, int]


class OrderSender:
    """Sends orders to one incarnation of a VM, and retries each until it is answered.

    Parameters
    ----------
    vm : VmRecord
        The incarnation.
    lease : VmLease
        Lease of the VM, which each start order renews.
    health : VmHealth
        Health of the VM.
    term : Term
        The term of this leader.
    orders : VmOrders
        Client of the endpoints.
    cfg : VmPolicy
        The settings.

    Attributes
    ----------
    full_until : timedelta or None
        Monotonic time before which the VM gets no new runs, since it refused one for
        lack of capacity.
    is_unresponsive : bool
        Whether the VM did not answer the last poll; its lease is not extended then.
    confirmed_at : dict
        Monotonic time at which an order for a run was answered or the run was first
        listed; only a poll that is sent later can prove that the run is lost.
    started_at : dict
        Monotonic time at which the endpoint accepted a run that began anew, for the
        runs that this sender started.
    stop_answered_at : dict
        Monotonic time at which the stop order for a run was answered.
    """

    __slots__ = (
        "_cfg",
        "_ending",
        "_in_flight",
        "_orders",
        "_pending",
        "_queue",
        "_tasks",
        "_term",
        "_wake",
        "confirmed_at",
        "full_until",
        "health",
        "is_unresponsive",
        "lease",
        "started_at",
        "stop_answered_at",
        "vm",
    )

    def __init__(
        self,
        vm: VmRecord,
        *,
        lease: VmLease,
        health: VmHealth,
        term: Term,
        orders: VmOrders,
        cfg: VmPolicy,
    ) -> None:
        self.vm = vm
        self.lease = lease
        self.health = health
        self._term = term
        self._orders = orders
        self._cfg = cfg.agents
        self.full_until: timedelta | None = None
        self.is_unresponsive = False
        self.confirmed_at: dict[RunId, timedelta] = {}
        self.started_at: dict[RunId, timedelta] = {}
        self.stop_answered_at: dict[RunId, timedelta] = {}
        self._queue: deque[QueuedOrder] = deque()
        self._pending: dict[RunId, QueuedOrder] = {}
        self._in_flight: QueuedOrder | None = None
        # Runs whose end is being committed; they must not be started meanwhile.
        self._ending: set[RunId] = set()
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    def begin(self) -> None:
        """Start sending orders."""
        name = f"orders to {self.vm.vm_id}"
        self._spawn(run_forever(name, self._send_forever, self._term.events))

    def close(self) -> None:
        """Stop sending orders."""
        for task in tuple(self._tasks):
            task.cancel()

    def is_pending(self, run_id: RunId) -> bool:
        """Return whether an order for a run is queued or in flight, or it is ending."""
        return run_id in self._pending or run_id in self._ending

    def lease_end_ms(self, now: timedelta) -> int:
        """Return the end of the lease to send, in ms of the VM's clock.

        The lease is extended only while the VM answers.
        """
        return (
            self.lease.last_end_ms(now)
            if self.is_unresponsive
            else self.lease.extend(now)
        )

    def record_end(self, run_id: RunId, kind: EndKind) -> None:
        """Commit, in the background, the end of a run that the VM does not list."""
        self._ending.add(run_id)
        self._spawn(self._commit_end(RunEnd(run_id[0], run_id[1], kind)))

    async def _commit_end(self, end: RunEnd) -> None:
        try:
            await self._term.record_ends(self.vm, (end,), 0)
        finally:
            self._ending.discard((end.key, end.number))

    def start(self, run: ActiveRun, ticket: str = "") -> None:
        """Queue the order to start a run that this leader has placed."""
        order = QueuedOrder(run.key, run.number, is_stop=False, run=run, ticket=ticket)
        self._enqueue(order)

    def resume_start(self, run: ActiveRun) -> None:
        """Queue the order to start a run that an earlier leader has placed."""
        self._enqueue(
            QueuedOrder(run.key, run.number, is_stop=False, run=run, n_lost=1)
        )

    def stop(self, key: TaskKey, number: int) -> None:
        """Queue the order to stop a run, ahead of queued starts."""
        pending = self._pending.get((key, number))
        if pending is None or not pending.is_stop:
            self._enqueue(QueuedOrder(key, number, is_stop=True))

    def give_up(self, key: TaskKey, number: int) -> None:
        """Withdraw the order to start a run if it was not sent, else stop the run."""
        run_id = (key, number)
        if run_id in self._ending or self.is_stopping(key, number):
            return
        order = self._pending.get(run_id)
        if order is None or order is self._in_flight or order.n_lost:
            self.stop(key, number)
        else:
            self._withdraw(order)

    def withdraw_starts(self) -> None:
        """Withdraw the queued start orders; one in flight, if it has to be resent."""
        for order in tuple(self._pending.values()):
            if not order.is_stop and order is not self._in_flight:
                self._withdraw_evacuated(order)

    @property
    def n_unsettled_starts(self) -> int:
        """Return the number of start orders, and of stops for lost ones, under way."""
        return sum(
            not order.is_stop or order.withdraws_start
            for order in self._pending.values()
        )

    def is_stopping(self, key: TaskKey, number: int) -> bool:
        """Return whether a stop order for a run is queued, in flight or answered."""
        pending = self._pending.get((key, number))
        is_stop_pending = pending is not None and pending.is_stop
        return is_stop_pending or (key, number) in self.stop_answered_at

    def _enqueue(self, order: QueuedOrder) -> None:
        self._pending[(order.key, order.number)] = order
        if order.is_stop:
            self._queue.appendleft(order)
        else:
            self._queue.append(order)
        self._wake.set()

    async def _send_forever(self) -> None:
        while True:
            while not self._queue or not self.lease.has_clock:
                self._wake.clear()
                if self._queue:
                    await asyncio.sleep(self._cfg.retry_delay.total_seconds())
                else:
                    await self._wake.wait()
            order = self._queue.popleft()
            if self._pending.get((order.key, order.number)) is not order:
                continue
            self._in_flight = order
            try:
                await self._send(order)
            except Exception:
                # The sending is restarted; the order may have been carried out.
                order.n_lost += 1
                self._requeue(order)
                raise
            finally:
                self._in_flight = None

    async def _send(self, order: QueuedOrder) -> None:
        run_id = (order.key, order.number)
        if not self._term.is_leading():
            await asyncio.sleep(self._cfg.retry_delay.total_seconds())
            self._queue.appendleft(order)
            return
        if not order.is_stop and not self._is_run_active(order):
            self._pending.pop(run_id, None)
            return
        if not order.is_stop and self._term.state.task(order.key).is_done:
            # Another run of the task was done while this order waited.
            self._withdraw(order)
            return
        if not order.is_stop and is_gang_incomplete(self._term.state, *run_id):
            # It was started in part, or a member has ended since.
            self._withdraw(order)
            return
        evacuations = self._term.state.evacuations
        if not order.is_stop and evacuations.includes(self.vm.data_centre):
            # The run was placed before the evacuation of the data centre began, or by
            # an earlier leader.
            self._withdraw_evacuated(order)
            return
        if not order.is_stop and self.is_unresponsive:
            # Another incarnation may be at the address; the next poll shows that. A
            # gang starts as a whole, so that its runs wait for the poll.
            if order.n_lost or self._term.state.step(order.key).is_gang:
                await self._retry(order)
            else:
                self._withdraw(order)
            return
        if not order.is_stop and (self.vm.is_draining or self._exceeds_capacity()):
            # The run was placed before the VM reported that it is draining, or that its
            # capacity has shrunk.
            self._withdraw(order)
            return
        try:
            if order.is_stop:
                await self._send_stop(order)
            else:
                await self._send_start(order)
        except VmReplacedError as exc:
            await self._term.forget_vm(self.vm, str(exc), has_crashed=True)
        except OrderNotSentError:
            await self._retry(order)
        except OrderOutcomeUnknownError:
            order.n_lost += 1
            await self._retry(order)

    def _withdraw_evacuated(self, order: QueuedOrder) -> None:
        """Withdraw a start order in an evacuated data centre, and log it.

        A run that the VM has listed has started and goes on, although the answer to its
        order was lost: the stop of a task at work could break its budget.
        """
        if (order.key, order.number) in self.confirmed_at:
            del self._pending[(order.key, order.number)]
            return
        self._term.emit(
            EventName.START_WITHDRAWN,
            request_id=order.key.job_id,
            vm=self.vm.vm_id,
            detail=f"{order.key.label(order.number)}: "
            f"data centre {self.vm.data_centre} is being evacuated",
        )
        self._withdraw(order)

    def _is_run_active(self, order: QueuedOrder) -> bool:
        """Return whether the run of a start order is still active in the state."""
        runs = self._term.state.runs.get(self.vm.vm_id, {})
        return (order.key, order.number) in runs

    def _exceeds_capacity(self) -> bool:
        """Return whether the runs placed on the VM need more than it has."""
        used, _ = self._term.state.usage.of_vm(self.vm.vm_id)
        return not used.fits(self.vm.capacity)

    async def _retry(self, order: QueuedOrder) -> None:
        await asyncio.sleep(self._cfg.retry_delay.total_seconds())
        self._requeue(order)

    def _requeue(self, order: QueuedOrder) -> None:
        """Queue an order again, unless it was replaced or is no longer needed."""
        if self._pending.get((order.key, order.number)) is order:
            if order.is_stop:
                self._queue.appendleft(order)
            else:
                self._queue.append(order)

    async def _send_stop(self, order: QueuedOrder) -> None:
        run_id = (order.key, order.number)
        await self._orders.stop(
            self.vm, order.key, order.number, fence=self._term.fence
        )
        now = self._term.clock.monotonic()
        self.lease.note_contact(now)
        if self._pending.get(run_id) is order:
            del self._pending[run_id]
        # The run can't start any more; a later poll without it proves that it ended.
        self.confirmed_at[run_id] = now
        self.stop_answered_at[run_id] = now

    async def _send_start(self, order: QueuedOrder) -> None:
        job = self._term.state.jobs.get(order.key.job_id)
        if job is None:
            return
        now = self._term.clock.monotonic()
        until_ms = (
            self.lease.last_end_ms(now)
            if self.is_unresponsive
            else self.lease.end_for_start(now)
        )
        outcome = await self._orders.start(
            self.vm,
            order.run,
            payload=job.spec.payload,
            ticket=order.ticket,
            fence=self._term.fence,
            until_ms=until_ms,
        )
        now = self._term.clock.monotonic()
        self.lease.note_contact(now)
        if outcome.clock_ms is not None:
            self.lease.note_clock(outcome.clock_ms, now)
        self._report_start(order.run, outcome.result)
        run_id = (order.key, order.number)
        if self._pending.get(run_id) is order:
            del self._pending[run_id]
            self._handle_start_result(order, outcome, now)

    def _report_start(self, run: ActiveRun, result: StartResult) -> None:
        """Log and count the result of a start order."""
        key = run.key
        self._term.metrics.add_run_start(outcome=result.value)
        job = self._term.state.jobs.get(key.job_id)
        if job is not None and run.number == 1 and key[1:] == (0, 0, 0):
            wait_ms = max(0, run.started_ms - job.accepted_ms)
            self._term.metrics.record_start_wait(
                queue=job.spec.queue, duration=timedelta(milliseconds=wait_ms)
            )
        self._term.emit(
            EventName.RUN_ORDERED,
            request_id=key.job_id,
            vm=self.vm.vm_id,
            detail=f"{key.label(run.number)} {result.value}",
        )

    def _withdraw(self, order: QueuedOrder) -> None:
        """End a run that the VM has not started."""
        run_id = (order.key, order.number)
        self._pending.pop(run_id, None)
        if order.n_lost:
            # An earlier copy of the order may still be in flight; the stop makes the VM
            # refuse it.
            self._enqueue(QueuedOrder(*run_id, is_stop=True, withdraws_start=True))
        else:
            self.record_end(run_id, EndKind.REJECTED)

    def _handle_start_result(
        self, order: QueuedOrder, outcome: StartOutcome, now: timedelta
    ) -> None:
        run_id = (order.key, order.number)
        if outcome.result in (StartResult.ACCEPTED, StartResult.OLD):
            self.confirmed_at[run_id] = now
            if not order.run.checkpoint and not order.n_lost:
                self.started_at[run_id] = now
        elif outcome.result is StartResult.LATE:
            self._enqueue(order)
        elif outcome.result is not StartResult.SUPERSEDED:
            if outcome.result is StartResult.NO_ROOM:
                self.full_until = now + self._cfg.max_retry_delay
            elif outcome.result is not StartResult.NO_TICKET:
                self.health.avoid(now)
            self._withdraw(order)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
