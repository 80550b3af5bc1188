"""Tests of a delegate: which orders it carries out, and when it may."""

import asyncio
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.delegation import DelegationSettings, OrderDelegate
from redwingslip.jobs import TaskKey
from redwingslip.peers import (
    DelegateLease,
    DelegateLeaseRecall,
    DelegateLeaseRequest,
    DelegateLeaseReturn,
    OrderBatch,
    OrderResult,
    StopOrder,
)
from tests.support_scheduling import FakeEndpoint, eventually, make_vm
from tests.support_virtual_time import VirtualTimeTestCase

MS = timedelta(milliseconds=1)
KEY = TaskKey("j1", 0, 0, 0)
LEASE = 400 * MS
FENCE = 4


class TestOrderDelegate(VirtualTimeTestCase):
    """A delegate with a manual clock, and the messages that it sends."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.sent = []
        self.endpoint = FakeEndpoint()
        self.leader_id = "lead"
        self.term = FENCE
        self.delegate = self.new_delegate()
        self.addCleanup(lambda: self.delegate.close())

    def new_delegate(self, **options):
        """Return a delegate of the leader."""
        delegate = OrderDelegate(
            own_id="d1",
            orders=self.endpoint,
            leader_id=lambda: self.leader_id,
            current_term=lambda: self.term,
            send=lambda to, msg: self.sent.append((to, msg)),
            clock=self.clock,
            cfg=DelegationSettings(batch_delay=MS, **options),
        )
        delegate.note_version("lead", takes_delegates=True)
        return delegate

    def grant(self, *, fence=FENCE, sender="lead"):
        """Answer the last request with a lease."""
        request = [m for _, m in self.sent if isinstance(m, DelegateLeaseRequest)][-1]
        lease = DelegateLease(number=request.number, fence=fence, duration=LEASE)
        self.delegate.receive_lease(sender, lease)

    async def order(self, *, fence=FENCE, sender="lead", n_orders=1):
        """Return the results of stop orders."""
        self.sent.clear()
        orders = tuple(StopOrder(n, make_vm(), KEY, 1) for n in range(n_orders))
        batch = OrderBatch(fence=fence, orders=orders)
        self.delegate.receive_orders(sender, batch)
        replies = []

        def has_all():
            replies[:] = [reply for _, msg in self.sent for reply in msg.replies]
            return len(replies) == n_orders

        await eventually(has_all)
        return [reply.result for reply in sorted(replies, key=lambda r: r.number)]

    async def test_orders_are_carried_out_under_a_lease(self):
        self.delegate.renew()
        self.grant()
        self.assertEqual(await self.order(), [OrderResult.ANSWERED])
        self.assertEqual(self.endpoint.stopped, [(KEY, 1)])

    async def test_orders_without_a_lease_are_not_sent(self):
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])
        self.assertEqual(self.endpoint.stopped, [])

    # Guards against ONE: a delegate that was frozen sends orders of an earlier term.
    async def test_the_lease_counts_from_the_request_and_not_from_its_arrival(self):
        self.delegate.renew()
        self.clock.advance(LEASE)
        self.grant()
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])

    async def test_a_later_lease_does_not_shorten_an_earlier_one(self):
        self.delegate.renew()
        self.grant()
        self.delegate.renew()
        request = [m for _, m in self.sent if isinstance(m, DelegateLeaseRequest)][-1]
        self.delegate.receive_lease(
            "lead", DelegateLease(number=request.number, fence=FENCE, duration=MS)
        )
        self.clock.advance(2 * MS)
        self.assertEqual(await self.order(), [OrderResult.ANSWERED])

    async def test_a_lease_of_one_term_allows_no_order_of_another(self):
        self.delegate.renew()
        self.grant()
        self.assertEqual(await self.order(fence=FENCE - 1), [OrderResult.NO_LEASE])
        self.assertEqual(await self.order(fence=FENCE + 1), [OrderResult.NO_LEASE])
        self.assertEqual(await self.order(sender="other"), [OrderResult.NO_LEASE])

    async def test_a_lease_of_an_earlier_term_does_not_replace_a_later_one(self):
        self.delegate.renew()
        self.delegate.renew()
        first, second = (msg for _, msg in self.sent)
        for request, fence, sender in ((first, FENCE, "lead"), (second, 1, "old")):
            lease = DelegateLease(number=request.number, fence=fence, duration=LEASE)
            self.delegate.receive_lease(sender, lease)
        self.assertEqual(await self.order(), [OrderResult.ANSWERED])

    async def test_the_term_that_the_replica_knows_ends_earlier_leases(self):
        self.delegate.renew()
        self.grant()
        self.term = FENCE + 1
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])

    async def test_a_recalled_lease_is_returned_and_not_granted_again(self):
        self.delegate.renew()
        self.delegate.renew()
        self.grant()
        self.sent = self.sent[:1]
        self.delegate.receive_recall("lead", DelegateLeaseRecall(fence=FENCE))
        self.assertEqual(self.sent[-1], ("lead", DelegateLeaseReturn(fence=FENCE)))
        self.sent.pop()
        self.grant()
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])

    async def test_the_recall_of_an_earlier_term_leaves_the_lease(self):
        self.delegate.renew()
        self.grant()
        self.delegate.receive_recall("old", DelegateLeaseRecall(fence=FENCE - 1))
        self.assertEqual(await self.order(), [OrderResult.ANSWERED])

    async def test_a_lease_that_was_not_requested_is_ignored(self):
        lease = DelegateLease(number=5, fence=FENCE, duration=LEASE)
        self.delegate.receive_lease("lead", lease)
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])

    # Guards against ONE: the lease of an ended process counted from a later request.
    async def test_a_lease_that_an_earlier_process_requested_is_ignored(self):
        self.delegate.renew()
        self.clock.advance(LEASE)
        self.delegate = self.new_delegate()
        earlier = self.sent.pop()[1]
        self.delegate.renew()
        lease = DelegateLease(number=earlier.number, fence=FENCE, duration=LEASE)
        self.delegate.receive_lease("lead", lease)
        self.assertEqual(await self.order(), [OrderResult.NO_LEASE])

    # Guards against ONE: the same, with a time of day that has been set back.
    async def test_requests_differ_from_earlier_ones_after_the_clock_was_set_back(self):
        self.delegate.renew()
        earlier = self.sent[-1][1]
        delegate = self.new_delegate()
        delegate.renew()
        self.assertNotEqual(self.sent[-1][1].number, earlier.number)
        lease = DelegateLease(number=earlier.number, fence=FENCE, duration=LEASE)
        delegate.receive_lease("lead", lease)
        delegate.renew()
        self.assertEqual(self.sent[-1][1].fence, 0)

    async def test_a_leader_requests_no_lease(self):
        for leader_id in ("", "d1"):
            self.leader_id = leader_id
            self.delegate.renew()
        self.assertEqual(self.sent, [])

    # Guards against links that break while controllers are upgraded in turn.
    async def test_a_leader_of_an_earlier_version_gets_no_request(self):
        self.delegate.note_version("lead", takes_delegates=False)
        self.delegate.renew()
        self.assertEqual(self.sent, [])

    async def test_orders_beyond_the_limit_are_not_sent(self):
        self.delegate = self.new_delegate(max_in_flight=2)
        self.delegate.renew()
        self.grant()
        results = await self.order(n_orders=3)
        answered, not_sent = OrderResult.ANSWERED, OrderResult.NOT_SENT
        self.assertEqual(results, [answered, answered, not_sent])

    async def test_an_unexpected_error_is_an_unknown_outcome(self):
        async def fail(*args, **options):
            raise RuntimeError("unexpected")

        self.endpoint.stop = fail
        self.delegate.renew()
        self.grant()
        self.assertEqual(await self.order(), [OrderResult.UNKNOWN])

    async def test_a_delegate_tells_how_late_it_is(self):
        self.delegate = self.new_delegate(renew_interval=MS)
        task = asyncio.create_task(self.delegate.run())
        await eventually(lambda: self.sent)
        self.clock.advance(50 * MS)
        await eventually(lambda: any(msg.lag > 40 * MS for _, msg in self.sent))
        task.cancel()

    async def test_the_lease_is_renewed_regularly(self):
        self.delegate = self.new_delegate(renew_interval=MS)
        task = asyncio.create_task(self.delegate.run())
        await eventually(lambda: len(self.sent) > 2)
        task.cancel()
        self.assertEqual({to for to, _ in self.sent}, {"lead"})
