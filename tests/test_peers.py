"""Tests of the links between processes, over real sockets."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import SystemClock
from redwingslip.observe import NullSink
from redwingslip.peers import PeerHub, PeerSettings, PermitCancel
from redwingslip.standins import RelayMode, TcpRelay

FAST = PeerSettings(
    heartbeat=timedelta(milliseconds=50),
    silence=timedelta(milliseconds=300),
    connect_timeout=timedelta(milliseconds=500),
    retry_delay=timedelta(milliseconds=10),
)


def message(number):
    """Return a message with a number."""
    return PermitCancel(request_id=str(number), pool="p")


class Process:
    """A hub and what it received."""

    def __init__(self, name, *, secret="s", cfg=FAST):
        self.received = asyncio.Queue()
        self.hub = PeerHub(
            process_id=name,
            address="127.0.0.1:0",
            secret=secret,
            cfg=cfg,
            clock=SystemClock(),
            on_message=self.take,
            events=NullSink(),
        )

    def take(self, sender_id, msg):
        """Keep a message; one with an empty id can't be handled."""
        if not msg.request_id:
            raise ValueError("not to be handled")
        self.received.put_nowait((sender_id, msg.request_id))


class TestPeerHub(unittest.IsolatedAsyncioTestCase):
    """Messages between two processes."""

    async def asyncSetUp(self):
        self.a = await self.start("a")
        self.b = await self.start("b")

    async def start(self, name, **options):
        """Start a process that the test stops at its end."""
        process = Process(name, **options)
        await process.hub.start()
        self.addAsyncCleanup(process.hub.stop)
        return process

    async def send_until_received(self, source, name, target, first=0):
        """Send numbered messages until one is received; return its number."""
        for number in range(first, first + 10_000):
            source.hub.send(name, message(number))
            try:
                async with asyncio.timeout(0.02):
                    return int((await target.received.get())[1])
            except TimeoutError:
                continue
        self.fail("nothing was received")

    async def test_messages_keep_their_order(self):
        """What one process sends arrives in order, and once."""
        self.a.hub.set_address("b", self.b.hub.address)
        for number in range(2_000):
            self.a.hub.send("b", message(number))
        found = [(await self.b.received.get())[1] for _ in range(2_000)]
        self.assertEqual(found, [str(number) for number in range(2_000)])

    async def test_answer_takes_the_same_link(self):
        """A process answers one whose address it was never told."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", message(1))
        sender_id, _ = await self.b.received.get()
        self.b.hub.send(sender_id, message(2))
        self.assertEqual(await self.a.received.get(), ("b", "2"))

    async def test_link_that_goes_silent_is_replaced(self):
        """Messages flow again on a new connection while the old one stays silent."""
        relay = TcpRelay(self.b.hub.address)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.a.hub.set_address("b", relay.address)
        last = await self.send_until_received(self.a, "b", self.b)
        relay.set_mode_of_open(RelayMode.FREEZE)
        await self.send_until_received(self.a, "b", self.b, last + 1)

    async def test_both_sides_dial_at_once(self):
        """Two processes that open a link to each other at once keep one."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.b.hub.set_address("a", self.a.hub.address)
        for number in range(20):
            self.a.hub.send("b", message(number))
            self.b.hub.send("a", message(number))
            await asyncio.sleep(0)
        await self.send_until_received(self.a, "b", self.b, 100)
        await self.send_until_received(self.b, "a", self.a, 100)

    async def test_stranger_is_refused(self):
        """A process without the cluster's secret reaches nobody."""
        stranger = await self.start("c", secret="other")
        stranger.hub.set_address("b", self.b.hub.address)
        stranger.hub.send("b", message(1))
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", message(2))
        self.assertEqual(await self.b.received.get(), ("a", "2"))
        await asyncio.sleep(0.2)
        self.assertTrue(self.b.received.empty())

    async def test_message_that_fails_costs_no_link(self):
        """The messages after one that can't be handled arrive."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", PermitCancel(request_id="", pool="p"))
        self.a.hub.send("b", message(1))
        self.assertEqual(await self.b.received.get(), ("a", "1"))

    async def test_too_many_waiting_messages_drop_the_oldest(self):
        """A peer that can't be reached costs a bounded memory."""
        cfg = PeerSettings(max_outbox=10, retry_delay=FAST.retry_delay)
        sender = await self.start("d", cfg=cfg)
        for number in range(25):
            sender.hub.send("b", message(number))
        sender.hub.set_address("b", self.b.hub.address)
        found = [(await self.b.received.get())[1] for _ in range(10)]
        self.assertEqual(found, [str(number) for number in range(15, 25)])


if __name__ == "__main__":
    unittest.main()
