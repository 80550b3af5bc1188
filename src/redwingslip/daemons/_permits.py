"""The entry's client for the permits of the dispatchers."""

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

__all__ = ["GrantedPermit", "PermitClient"]

RESEND_AFTER = timedelta(milliseconds=500)
N_USED_PERMITS_KEPT = 10_000


class GrantedPermit(msgspec.Struct, frozen=True):
    """A permit and the end of its start window, in this process's monotonic time."""

    permit: Permit
    start_until: timedelta


class _WaitingRequest:
    """A request that waits for its permit.

    Parameters
    ----------
    request : PermitRequest
        The request.
    until : timedelta
        Monotonic time until which the request waits.
    fut : asyncio.Future
        Gets the granted permit or the refusal.

    Attributes
    ----------
    epoch : int
        Epoch of the dispatcher to which the request was last sent, 0 for none.
    sent_at : timedelta
        Monotonic time of the last send.
    """

    __slots__ = ("epoch", "fut", "request", "sent_at", "until")

    def __init__(
        self, request: PermitRequest, until: timedelta, fut: asyncio.Future
    ) -> None:
        self.request = request
        self.until = until
        self.fut = fut
        self.epoch = 0
        self.sent_at = timedelta(0)


class PermitClient:
    """Requests permits from the pools' dispatchers and returns the unused ones.

    Parameters
    ----------
    view : FleetView
        The entry's view, which contains the dispatcher lease of each pool.
    send : callable
        Called with an entry id and a message; the message may be lost.
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
        self._waiting: dict[str, _WaitingRequest] = {}
        self._in_use: dict[str, Permit] = {}
        self._used: OrderedDict[str, None] = OrderedDict()

    async def obtain(self, request: PermitRequest, until: timedelta) -> GrantedPermit:
        """Wait for a permit until the monotonic time `until`.

        Raises
        ------
        PermitRefusedError
            No permit was granted; the request did not run.
        """
        fut: asyncio.Future[GrantedPermit] = asyncio.get_running_loop().create_future()
        waiting = _WaitingRequest(request, until, fut)
        self._waiting[request.request_id] = waiting
        self._send_request(waiting)
        remaining = until - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                return await fut
        except TimeoutError:
            raise _new_timeout_error(request) from None
        finally:
            del self._waiting[request.request_id]
            self._cancel_unless_answered(request, fut)

    def _cancel_unless_answered(
        self, request: PermitRequest, fut: asyncio.Future
    ) -> None:
        """Cancel a request at the dispatcher if the wait for it was abandoned."""
        if not fut.done() or fut.cancelled():
            self._send_to_dispatcher(
                request.pool,
                PermitCancel(request_id=request.request_id, pool=request.pool),
            )

    def handle_permit(self, permit: Permit) -> None:
        """Handle a permit; return it as unused if it is unwanted or outdated.

        A second copy of a used permit is ignored. After a lost answer its task may
        still run, and returning the permit as unused would free that task's slot.
        """
        if permit.permit_id in self._in_use or permit.permit_id in self._used:
            return
        waiting = self._waiting.get(permit.request_id)
        lease = self._view.dispatchers.get(permit.pool)
        is_outdated = lease is not None and permit.epoch < lease.epoch
        if waiting is None or waiting.fut.done() or is_outdated:
            self._send_done(permit, RunResult.NOT_RUN, timedelta(0))
            return
        self._in_use[permit.permit_id] = permit
        start_until = self._clock.monotonic() + permit.start_within
        waiting.fut.set_result(GrantedPermit(permit, start_until))

    def handle_refusal(self, refusal: PermitRefusal) -> None:
        """Handle a refusal, which ends the wait for the permit.

        A refusal by an entry that does not dispatch the pool is ignored, because
        `resend_requests` sends the request again.
        """
        waiting = self._waiting.get(refusal.request_id)
        if waiting is None or waiting.fut.done():
            return
        if refusal.reason is RefusalReason.NOT_DISPATCHER:
            return
        waiting.fut.set_exception(PermitRefusedError(refusal))

    def return_permit(
        self, permit: Permit, result: RunResult, run_time: timedelta
    ) -> None:
        """Return a permit to the dispatcher after its use."""
        self._in_use.pop(permit.permit_id, None)
        self._used[permit.permit_id] = None
        if len(self._used) > N_USED_PERMITS_KEPT:
            self._used.popitem(last=False)
        self._send_done(permit, result, run_time)

    def resend_requests(self) -> None:
        """Resend requests that are unanswered or whose pool has a new dispatcher."""
        now = self._clock.monotonic()
        for waiting in list(self._waiting.values()):
            if waiting.fut.done():
                continue
            lease = self._view.dispatchers.get(waiting.request.pool)
            epoch = 0 if lease is None else lease.epoch
            if epoch != waiting.epoch or now - waiting.sent_at >= RESEND_AFTER:
                self._send_request(waiting)

    def _send_request(self, waiting: _WaitingRequest) -> None:
        now = self._clock.monotonic()
        lease = self._view.dispatchers.get(waiting.request.pool)
        waiting.epoch = 0 if lease is None else lease.epoch
        waiting.sent_at = now
        remaining = waiting.until - now
        if lease is not None and remaining > timedelta(0):
            request = msgspec.structs.replace(waiting.request, deadline=remaining)
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


def _new_timeout_error(request: PermitRequest) -> PermitRefusedError:
    refusal = PermitRefusal(
        request_id=request.request_id,
        pool=request.pool,
        reason=RefusalReason.TOO_LATE,
    )
    return PermitRefusedError(refusal)
