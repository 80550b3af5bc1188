"""Tests of the links between processes over real sockets."""

import asyncio
import contextlib
import unittest
from datetime import timedelta

import msgspec
from hpack import Encoder
from hyperframe.frame import HeadersFrame, SettingsFrame

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
    """Return a message that carries a number as its request id."""
    return PermitCancel(request_id=str(number), pool="p")


class Process:
    """A hub and the messages that it received."""

    def __init__(self, name, *, secret="s", cfg=FAST):
        self.received = asyncio.Queue()
        self.hub = PeerHub(
            process_id=name,
            address="127.0.0.1:0",
            secret=secret,
            cfg=cfg,
            clock=SystemClock(),
            on_message=self.handle,
            events=NullSink(),
        )

    def handle(self, sender_id, msg):
        """Record a message; fail on one with an empty request id."""
        if not msg.request_id:
            raise ValueError("empty request id")
        self.received.put_nowait((sender_id, msg.request_id))


class TestPeerHub(unittest.IsolatedAsyncioTestCase):
    """Messages between two hubs."""

    async def asyncSetUp(self):
        self.a = await self.start("a")
        self.b = await self.start("b")

    async def start(self, name, **options):
        """Start a process, which is stopped when the test ends."""
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
        """Messages of one process are received once and in order."""
        self.a.hub.set_address("b", self.b.hub.address)
        for number in range(2_000):
            self.a.hub.send("b", message(number))
        received = [(await self.b.received.get())[1] for _ in range(2_000)]
        self.assertEqual(received, [str(number) for number in range(2_000)])

    async def test_answer_takes_the_same_link(self):
        """A process can answer a peer whose address was never set."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", message(1))
        sender_id, _ = await self.b.received.get()
        self.b.hub.send(sender_id, message(2))
        self.assertEqual(await self.a.received.get(), ("b", "2"))

    async def test_unresponsive_link_is_replaced(self):
        """If a connection delivers nothing more, a new connection carries messages."""
        relay = TcpRelay(self.b.hub.address)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.a.hub.set_address("b", relay.address)
        last = await self.send_until_received(self.a, "b", self.b)
        relay.set_mode_of_open(RelayMode.FREEZE)
        await self.send_until_received(self.a, "b", self.b, last + 1)

    async def test_both_sides_dial_at_the_same_time(self):
        """Two processes that dial each other at the same time keep one link."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.b.hub.set_address("a", self.a.hub.address)
        for number in range(20):
            self.a.hub.send("b", message(number))
            self.b.hub.send("a", message(number))
            await asyncio.sleep(0)
        await self.send_until_received(self.a, "b", self.b, 100)
        await self.send_until_received(self.b, "a", self.a, 100)

    async def test_connections_of_unknown_senders_are_limited(self):
        """Guards against clients that hold connections without the secret.

        The oldest ones are closed, and a peer's connection stays.
        """
        cfg = msgspec.structs.replace(FAST, max_unknown=2)
        c = await self.start("c", cfg=cfg)
        self.a.hub.set_address("c", c.hub.address)
        last = await self.send_until_received(self.a, "c", c)
        host, port = c.hub.address.split(":")
        readers = []
        for _ in range(4):
            reader, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.transport.abort)
            readers.append(reader)
        for reader in readers[:2]:
            with contextlib.suppress(ConnectionError):
                await reader.read()
        self.assertFalse(any(reader.at_eof() for reader in readers[2:]))
        await self.send_until_received(self.a, "c", c, last + 1)

    async def open_connection(self, process):
        """Return reader and writer of a connection of an unknown sender."""
        host, port = process.hub.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def test_connection_without_request_is_closed(self):
        """Guards against clients that connect and send nothing."""
        timeout = timedelta(milliseconds=50)
        cfg = msgspec.structs.replace(FAST, authentication_timeout=timeout)
        reader, _ = await self.open_connection(await self.start("c", cfg=cfg))
        with contextlib.suppress(ConnectionError):
            await reader.read()

    async def test_second_stream_closes_connection(self):
        """Guards against clients that open many streams."""
        reader, writer = await self.open_connection(self.b)
        block = Encoder().encode([(":method", "GET"), (":path", "/")])
        writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize())
        for number in (1, 3):
            frame = HeadersFrame(number, block, flags=["END_HEADERS"])
            writer.write(frame.serialize())
        with contextlib.suppress(ConnectionError):
            await reader.read()

    async def test_message_above_the_limit_ends_the_link(self):
        """Guards against a frame that is longer than any of a peer."""
        cfg = msgspec.structs.replace(FAST, max_message_bytes=1_000)
        c = await self.start("c", cfg=cfg)
        self.a.hub.set_address("c", c.hub.address)
        self.a.hub.send("c", PermitCancel(request_id="x" * 2_000, pool="p"))
        last = await self.send_until_received(self.a, "c", c)
        self.assertGreater(last, 0)

    async def test_process_without_the_secret_is_refused(self):
        """Messages of a process without the cluster's secret are not received."""
        outsider = await self.start("c", secret="other")
        outsider.hub.set_address("b", self.b.hub.address)
        outsider.hub.send("b", message(1))
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", message(2))
        self.assertEqual(await self.b.received.get(), ("a", "2"))
        await asyncio.sleep(0.2)
        self.assertTrue(self.b.received.empty())

    async def test_message_that_fails_does_not_break_the_link(self):
        """Messages after one whose handling fails are still received."""
        self.a.hub.set_address("b", self.b.hub.address)
        self.a.hub.send("b", PermitCancel(request_id="", pool="p"))
        self.a.hub.send("b", message(1))
        self.assertEqual(await self.b.received.get(), ("a", "1"))

    async def test_full_queue_drops_the_oldest_messages(self):
        """The queue to an unreachable peer has a bounded length."""
        cfg = PeerSettings(max_outbox=10, retry_delay=FAST.retry_delay)
        sender = await self.start("d", cfg=cfg)
        for number in range(25):
            sender.hub.send("b", message(number))
        sender.hub.set_address("b", self.b.hub.address)
        received = [(await self.b.received.get())[1] for _ in range(10)]
        self.assertEqual(received, [str(number) for number in range(15, 25)])


if __name__ == "__main__":
    unittest.main()
