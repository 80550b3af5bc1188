"""The entry's side of the permits."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..fleet import FleetView
from ..peers import (
    Message,
    Permit,
    PermitCancel,
    PermitDone,
    PermitRefusal,
    PermitRequest,
    RefusalReason,
    RunResult,
)
from .exceptions import PermitRefusedError

__all__ = ["GrantedPermit", "PermitDesk"]

RESEND_AFTER = timedelta(milliseconds=500)
N_USED_REMEMBERED = 10_000


class GrantedPermit(msgspec.Struct, frozen=True):
    """A permit and when its start window ends, in this process's monotonic time."""

    permit: Permit
    start_until: timedelta


class _Waiting:
    """A request that waits for its permit."""

    __slots__ = ("epoch", "fut", "request", "sent_at", "until")

    def __init__(
        self, request: PermitRequest, until: timedelta, fut: asyncio.Future
    ) -> None:
        self.request = request
        self.until = until
        self.fut = fut
        self.epoch = 0
        self.sent_at = timedelta(0)


class PermitDesk:
    """Asks the pools' dispatchers for permits and gives back what it can't use.

    Parameters
    ----------
    view : FleetView
        The entry's view; it names the dispatchers.
    send : callable
        Takes an entry's id and a message, and may lose it.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_clock", "_in_use", "_send", "_used", "_view", "_waiting")

    def __init__(
        self,
        *,
        view: FleetView,
        send: Callable[[str, Message], None],
        clock: Clock,
    ) -> None:
        self._view = view
        self._send = send
        self._clock = clock
        self._waiting: dict[str, _Waiting] = {}
        self._in_use: dict[str, Permit] = {}
        self._used: OrderedDict[str, None] = OrderedDict()

    async def obtain(self, request: PermitRequest, until: timedelta) -> GrantedPermit:
        """Wait for a permit until the monotonic time `until`.

        Raises
        ------
        PermitRefusedError
            There is none; nothing has run.
        """
        fut: asyncio.Future[GrantedPermit] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(request, until, fut)
        self._waiting[request.request_id] = waiting
        self._ask(waiting)
        left = until - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left.total_seconds())):
                return await fut
        except TimeoutError:
            raise _too_late(request) from None
        finally:
            del self._waiting[request.request_id]
            self._withdraw(request, fut)

    def _withdraw(self, request: PermitRequest, fut: asyncio.Future) -> None:
        """Tell the dispatcher when nobody waits for its answer any more."""
        if not fut.done() or fut.cancelled():
            self._send_to_dispatcher(
                request.pool,
                PermitCancel(request_id=request.request_id, pool=request.pool),
            )

    def permit(self, permit: Permit) -> None:
        """Take a permit; one that is not wanted any more is given back.

        A second copy of one that was used says nothing: after a lost answer its task
        may still run, and giving it back would free that task's slot.
        """
        if permit.permit_id in self._in_use or permit.permit_id in self._used:
            return
        waiting = self._waiting.get(permit.request_id)
        lease = self._view.dispatchers.get(permit.pool)
        is_old = lease is not None and permit.epoch < lease.epoch
        if waiting is None or waiting.fut.done() or is_old:
            self._send_done(permit, RunResult.NOT_RUN, timedelta(0))
            return
        self._in_use[permit.permit_id] = permit
        start_until = self._clock.monotonic() + permit.start_within
        waiting.fut.set_result(GrantedPermit(permit, start_until))

    def refusal(self, refusal: PermitRefusal) -> None:
        """Take a refusal; one that only names the wrong dispatcher is asked again."""
        waiting = self._waiting.get(refusal.request_id)
        if waiting is None or waiting.fut.done():
            return
        if refusal.reason is RefusalReason.NOT_DISPATCHER:
            return
        waiting.fut.set_exception(PermitRefusedError(refusal))

    def done(self, permit: Permit, result: RunResult, run_time: timedelta) -> None:
        """Give a permit back after its use."""
        self._in_use.pop(permit.permit_id, None)
        self._used[permit.permit_id] = None
        if len(self._used) > N_USED_REMEMBERED:
            self._used.popitem(last=False)
        self._send_done(permit, result, run_time)

    def check(self) -> None:
        """Ask again where no answer came, or where another dispatcher decides now."""
        now = self._clock.monotonic()
        for waiting in list(self._waiting.values()):
            if waiting.fut.done():
                continue
            lease = self._view.dispatchers.get(waiting.request.pool)
            epoch = 0 if lease is None else lease.epoch
            if epoch != waiting.epoch or now - waiting.sent_at >= RESEND_AFTER:
                self._ask(waiting)

    def _ask(self, waiting: _Waiting) -> None:
        now = self._clock.monotonic()
        lease = self._view.dispatchers.get(waiting.request.pool)
        waiting.epoch = 0 if lease is None else lease.epoch
        waiting.sent_at = now
        left = waiting.until - now
        if lease is not None and left > timedelta(0):
            request = msgspec.structs.replace(waiting.request, deadline=left)
            self._send(lease.entry_id, request)

    def _send_done(
        self, permit: Permit, result: RunResult, run_time: timedelta
    ) -> None:
        done = PermitDone(
            permit_id=permit.permit_id,
            request_id=permit.request_id,
            pool=permit.pool,
            endpoint_id=permit.endpoint_id,
            result=result,
            run_time=run_time,
        )
        self._send_to_dispatcher(permit.pool, done)

    def _send_to_dispatcher(self, pool: str, message: Message) -> None:
        lease = self._view.dispatchers.get(pool)
        if lease is not None:
            self._send(lease.entry_id, message)


def _too_late(request: PermitRequest) -> PermitRefusedError:
    refusal = PermitRefusal(
        request_id=request.request_id,
        pool=request.pool,
        reason=RefusalReason.TOO_LATE,
    )
    return PermitRefusedError(refusal)
