"""Tests of the entry's client for permits."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.daemons._permits import PermitClient
from redwingslip.daemons.exceptions import PermitRefusedError
from redwingslip.fleet import Change, DispatcherLease, FleetView
from redwingslip.peers import (
    Permit,
    PermitCancel,
    PermitDone,
    PermitRefusal,
    PermitRequest,
    RefusalReason,
    RunResult,
)
from tests.support_virtual_time import VirtualTimeTestCase

SECOND = timedelta(seconds=1)
REQUEST = PermitRequest(
    request_id="r.0",
    entry_id="entry-1",
    pool="p",
    queue="q",
    service="s",
    team="t",
    urgent=False,
    deadline=timedelta(0),
    max_run=SECOND,
)


def permit(number=1, epoch=5):
    """Return a permit for the request."""
    return Permit(
        permit_id=f"permit-{number}",
        request_id="r.0",
        pool="p",
        epoch=epoch,
        endpoint_id="e",
        incarnation="i",
        address="127.0.0.1:1",
        fencing_token=epoch,
        start_by=SECOND,
        start_within=SECOND,
        lease=SECOND,
    )


class TestPermitClient(VirtualTimeTestCase):
    """Requests for permits, and the permits that are returned to the dispatcher."""

    def setUp(self):
        self.sent = []
        self.clock = ManualClock()
        self.view = FleetView()
        self.permits = PermitClient(
            view=self.view,
            send=lambda peer_id, msg: self.sent.append((peer_id, msg)),
            clock=self.clock,
        )
        self.dispatch("entry-2", 5)

    def dispatch(self, entry_id, epoch):
        """Assign the pool's dispatcher to an entry."""
        lease = DispatcherLease(
            pool="p", entry_id=entry_id, incarnation="i", epoch=epoch
        )
        self.view.apply(Change(index=epoch, row=lease))

    def sent_of(self, kind):
        """Return the sent messages of a type, with their receivers."""
        return [(peer_id, msg) for peer_id, msg in self.sent if isinstance(msg, kind)]

    async def start(self):
        """Start a task that waits for a permit."""
        task = asyncio.create_task(self.permits.obtain(REQUEST, 10 * SECOND))
        await asyncio.sleep(0)
        return task

    async def test_second_copy_of_a_used_permit_frees_nothing(self):
        """A copy is not returned as unused, because its task may still run."""
        task = await self.start()
        self.permits.handle_permit(permit())
        granted = await task
        self.permits.handle_permit(permit())
        self.permits.return_permit(granted.permit, RunResult.UNKNOWN, SECOND)
        self.permits.handle_permit(permit())
        results = [msg.result for _, msg in self.sent_of(PermitDone)]
        self.assertEqual(results, [RunResult.UNKNOWN])

    async def test_permit_of_an_older_epoch_is_returned(self):
        """The request is resent to the new dispatcher, whose permit alone is used."""
        task = await self.start()
        self.dispatch("entry-3", 9)
        self.permits.resend_requests()
        self.permits.handle_permit(permit(1, epoch=5))
        self.assertFalse(task.done())
        self.permits.handle_permit(permit(2, epoch=9))
        self.assertEqual((await task).permit.permit_id, "permit-2")
        receivers = [peer_id for peer_id, _ in self.sent_of(PermitRequest)]
        self.assertEqual(receivers, ["entry-2", "entry-3"])
        returned = [msg.permit_id for _, msg in self.sent_of(PermitDone)]
        self.assertEqual(returned, ["permit-1"])

    async def test_permit_of_a_cancelled_request_is_returned(self):
        """A permit that arrives after its request was cancelled is reported unused."""
        task = await self.start()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(len(self.sent_of(PermitCancel)), 1)
        self.permits.handle_permit(permit())
        results = [msg.result for _, msg in self.sent_of(PermitDone)]
        self.assertEqual(results, [RunResult.NOT_RUN])

    async def test_unanswered_request_is_sent_again_with_the_time_left(self):
        """A lost request is resent after 0.5 s with the remaining time as deadline."""
        task = await self.start()
        self.clock.advance(0.6 * SECOND)
        self.permits.resend_requests()
        deadlines = [msg.deadline for _, msg in self.sent_of(PermitRequest)]
        self.assertEqual(deadlines, [10 * SECOND, 9.4 * SECOND])
        task.cancel()

    async def test_refusal_by_a_wrong_dispatcher_is_ignored(self):
        """Only a refusal by the pool's dispatcher ends the wait."""
        task = await self.start()
        for reason in (RefusalReason.NOT_DISPATCHER, RefusalReason.QUEUE_FULL):
            self.permits.handle_refusal(
                PermitRefusal(request_id="r.0", pool="p", reason=reason)
            )
        with self.assertRaises(PermitRefusedError) as caught:
            await task
        self.assertIs(caught.exception.refusal.reason, RefusalReason.QUEUE_FULL)


if __name__ == "__main__":
    unittest.main()
