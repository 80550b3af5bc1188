"""Reboots that the leader has this entry ask the platform for."""

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

__all__ = ["RebootDesk"]

POLL_INTERVAL = timedelta(milliseconds=500)
GIVE_UP_AFTER = timedelta(minutes=15)


class RebootDesk:
    """Carries out reboot orders, one task for each.

    Parameters
    ----------
    client : PlatformClient or None
        The platform; None carries out no order.
    answer : callable
        Takes the word for the leader, which may be lost; the leader orders again.
    """

    __slots__ = ("_answer", "_client", "_tasks")

    def __init__(
        self, client: PlatformClient | None, answer: Callable[[RebootDone], None]
    ) -> None:
        self._client = client
        self._answer = answer
        self._tasks: dict[str, asyncio.Task] = {}

    def order(self, msg: RebootOrder) -> None:
        """Take an order; a resend of one that is under way is dropped.

        Without a platform nothing is said, so that the next resend, which may go to
        another entry, is carried out there.
        """
        if self._client is None:
            return
        if msg.operation_id in self._tasks:
            return
        task = asyncio.create_task(self._carry_out(msg), name=f"reboot {msg.vm}")
        self._tasks[msg.operation_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(msg.operation_id, None))

    async def stop(self) -> None:
        """Give up what is under way; another entry is ordered to go on with it."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry_out(self, msg: RebootOrder) -> None:
        try:
            async with asyncio.timeout(GIVE_UP_AFTER.total_seconds()):
                await self._reboot(msg)
        except PlatformRefusedError as exc:
            self._refuse(msg, str(exc))
        except TimeoutError:
            # The leader orders again, and the platform knows the operation.
            return

    async def _reboot(self, msg: RebootOrder) -> None:
        """Ask until the platform says that this very reboot is done."""
        while True:
            try:
                state = await self._client.reboot(msg.vm, msg.operation_id)
            except PlatformUnavailableError:
                await asyncio.sleep(POLL_INTERVAL.total_seconds())
                continue
            is_own = state.operation_id == msg.operation_id
            if is_own and state.state is VmPower.RUNNING:
                self._answer(_done(msg))
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    def _refuse(self, msg: RebootOrder, reason: str) -> None:
        done = RebootDone(
            vm=msg.vm,
            wave=msg.wave,
            operation_id=msg.operation_id,
            accepted=False,
            reason=reason,
        )
        self._answer(done)


def _done(msg: RebootOrder) -> RebootDone:
    return RebootDone(
        vm=msg.vm, wave=msg.wave, operation_id=msg.operation_id, accepted=True
    )
