"""Tests of the limit on the bytes on their way to the leader, and of links' queues."""

import asyncio

from redwingslip.clock import ManualClock
from redwingslip.consensus._messages import InstallSnapshot
from redwingslip.peers import CallSource, LeaderQuery, PeerSettings, RelayedCall
from redwingslip.peers._link import Link
from redwingslip.relay._in_flight import InFlight
from tests.support_virtual_time import VirtualTimeTestCase

LARGE = 100_000


class TestInFlight(VirtualTimeTestCase):
    """Room for two large bodies."""

    async def asyncSetUp(self):
        self.in_flight = InFlight(2 * LARGE)

    async def test_large_bodies_wait_in_order_and_small_ones_pass(self):
        """Guards against bodies that accumulate, and against waits of small calls."""
        for _ in range(2):
            self.assertTrue(await self.in_flight.enter(LARGE, 1))
        waiting = [asyncio.create_task(self.in_flight.enter(LARGE, 60)) for _ in "ab"]
        await asyncio.sleep(0)
        self.assertTrue(await self.in_flight.enter(1_000, 1))
        self.in_flight.leave(1_000)
        self.assertFalse(any(task.done() for task in waiting))
        self.in_flight.leave(LARGE)
        self.assertTrue(await waiting[0])
        self.assertFalse(waiting[1].done())
        waiting[1].cancel()
        await asyncio.wait(waiting)
        self.in_flight.leave(LARGE)
        self.in_flight.leave(LARGE)
        self.assertEqual(self.in_flight.n_bytes, 0)

    async def test_body_without_room_is_given_up(self):
        """Guards against calls that wait for longer than their callers."""
        self.assertTrue(await self.in_flight.enter(9 * LARGE, 1))
        self.assertFalse(await self.in_flight.enter(LARGE, 0.01))
        self.in_flight.leave(9 * LARGE)
        self.assertTrue(await self.in_flight.enter(LARGE, 0.01))


class TestLinkBytes(VirtualTimeTestCase):
    """The queue of a link."""

    def call(self, n_bytes):
        """Return a call with a body."""
        return RelayedCall(
            number=1,
            source=CallSource.CALLERS,
            method="POST",
            path="/",
            body=bytes(n_bytes),
        )

    async def test_bytes_of_the_queue_and_of_a_frame_are_limited(self):
        """Guards against bodies that fill the queue, and against dropped log messages.

        Messages without a body are queued beside bodies that take all the room.
        """
        cfg = PeerSettings(max_outbox_bytes=250, max_frame_bytes=100)
        link = Link("p", cfg=cfg, clock=ManualClock(), on_message=lambda *_: None)
        for n_bytes in (100, 100, 100, 50):
            link.send(self.call(n_bytes))
        link.send(LeaderQuery())
        self.assertEqual((link.n_dropped, link.n_body_bytes), (1, 250))
        sizes = [len(link._take_batch()) for _ in range(4)]
        self.assertEqual((sizes, link.n_body_bytes), ([1, 1, 2, 0], 0))
        link.send(self.call(900))
        self.assertEqual(link.n_body_bytes, 900)

    async def test_frame_ends_with_a_large_log_entry(self):
        """Guards against frames above the limit of their receiver."""
        cfg = PeerSettings(max_frame_bytes=100)
        link = Link("p", cfg=cfg, clock=ManualClock(), on_message=lambda *_: None)
        chunk = InstallSnapshot(
            term=1,
            incarnation="i",
            index=1,
            snapshot_term=1,
            offset=0,
            data=bytes(100),
            is_last=False,
            round=1,
        )
        for _ in range(2):
            link.send(chunk)
        self.assertEqual([len(link._take_batch()) for _ in range(2)], [1, 1])
