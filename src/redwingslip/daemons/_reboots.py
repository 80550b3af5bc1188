"""Reboots that this entry requests from the platform on the leader's order."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..peers import RebootDone, RebootOrder
from ..reboots import (
    PlatformClient,
    PlatformRefusedError,
    PlatformUnavailableError,
    VmPower,
)

__all__ = ["RebootRunner"]

POLL_INTERVAL = timedelta(milliseconds=500)
REBOOT_TIMEOUT = timedelta(minutes=15)


class RebootRunner:
    """Carries out reboot orders, each in a task of its own.

    Parameters
    ----------
    client : PlatformClient or None
        Client of the platform; with None all orders are ignored.
    send_done : callable
        Called with a report for the leader. The report may be lost: the leader then
        resends the order.
    """

    __slots__ = ("_client", "_send_done", "_tasks")

    def __init__(
        self, client: PlatformClient | None, send_done: Callable[[RebootDone], None]
    ) -> None:
        self._client = client
        self._send_done = send_done
        self._tasks: dict[str, asyncio.Task] = {}

    def handle_order(self, msg: RebootOrder) -> None:
        """Start a reboot; a resend of an order in progress is dropped.

        Without a platform client the order is not answered. The leader resends it, and
        another entry may receive and carry out the resend.
        """
        if self._client is None:
            return
        if msg.operation_id in self._tasks:
            return
        task = asyncio.create_task(self._carry_out(msg), name=f"reboot {msg.vm}")
        self._tasks[msg.operation_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(msg.operation_id, None))

    async def stop(self) -> None:
        """Cancel the reboots in progress; the leader orders them from another entry."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry_out(self, msg: RebootOrder) -> None:
        try:
            async with asyncio.timeout(REBOOT_TIMEOUT.total_seconds()):
                await self._reboot(msg)
        except PlatformRefusedError as exc:
            self._report_refusal(msg, str(exc))
        except TimeoutError:
            # The leader resends the order; the platform recognises the operation id.
            return

    async def _reboot(self, msg: RebootOrder) -> None:
        """Request a reboot repeatedly until the platform reports it as completed."""
        while True:
            try:
                state = await self._client.reboot(msg.vm, msg.operation_id)
            except PlatformUnavailableError:
                await asyncio.sleep(POLL_INTERVAL.total_seconds())
                continue
            is_same_operation = state.operation_id == msg.operation_id
            if is_same_operation and state.state is VmPower.RUNNING:
                self._send_done(_new_success_report(msg))
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    def _report_refusal(self, msg: RebootOrder, reason: str) -> None:
        done = RebootDone(
            vm=msg.vm,
            wave=msg.wave,
            operation_id=msg.operation_id,
            accepted=False,
            reason=reason,
        )
        self._send_done(done)


def _new_success_report(msg: RebootOrder) -> RebootDone:
    return RebootDone(
        vm=msg.vm, wave=msg.wave, operation_id=msg.operation_id, accepted=True
    )
