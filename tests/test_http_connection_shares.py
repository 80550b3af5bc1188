"""Tests of the connections of one address while others want to connect."""

import asyncio
import random
import time
import unittest
from collections import Counter
from datetime import timedelta

from redwingslip.http import HttpLimits
from redwingslip.http._connection_table import ConnectionTable, Idleness
from redwingslip.http._peer_groups import PeerGroups
from tests.support_http import LONG
from tests.test_http_memory import _Connection
from tests.test_http_server import ServerTestCase

HOUR = timedelta(hours=1)
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
CROWD, CALLER = ("127.0.0.31", 0), ("127.0.0.32", 0)
MAX_CONNECTIONS = 4
N_CONNECTIONS = 4_000


class TestShares(ServerTestCase):
    """A server whose connections one address holds with requests in progress."""

    async def handle(self, req):
        """Count the requests that have begun."""
        self.n_begun += 1
        return await super().handle(req)

    async def fill(self, data):
        """Open as many connections as the server allows, from one address."""
        self.n_begun = 0
        await self.start(HttpLimits(max_connections=MAX_CONNECTIONS, body_stall=HOUR))
        conns = [
            await self.connect(data, local_addr=CROWD) for _ in range(MAX_CONNECTIONS)
        ]
        await self.wait_begun(MAX_CONNECTIONS)
        return conns

    async def wait_begun(self, n_requests):
        """Wait until requests have begun."""
        async with asyncio.timeout(LONG.total_seconds()):
            while self.n_begun < n_requests:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def ask(self):
        """Return the first line of the answer to another address."""
        reader, _ = await self.connect(HEAD + b"xx", local_addr=CALLER)
        return await reader.readline()

    async def test_bodies_in_progress_do_not_keep_others_out(self):
        """Guards against bodies that grow slowly enough not to stall."""
        conns = await self.fill(HEAD + b"x")
        self.assertIn(b"200 OK", await self.ask())
        self.assertEqual(await self.read_to_end(conns[0][0]), b"")
        # The others stay.
        conns[1][1].write(b"x")
        self.assertIn(b"200 OK", await conns[1][0].readline())

    async def test_running_requests_do_not_keep_others_out(self):
        """Guards against an address that sends request after request."""
        self.release.clear()
        conns = await self.fill(HEAD + b"xx")
        reader, _ = await self.connect(HEAD + b"xx", local_addr=CALLER)
        self.release.set()
        self.assertIn(b"200 OK", await reader.readline())
        # Each request keeps its answer; one connection ends after it.
        for reader, _ in conns:
            self.assertIn(b"200 OK", await reader.readline())
        self.assertTrue((await self.read_to_end(conns[0][0])).endswith(b"xx"))
        reader, writer = conns[1]
        await reader.readuntil(b"xx")
        writer.write(HEAD + b"xx")
        self.assertIn(b"200 OK", await reader.readline())

    async def test_address_within_its_share_keeps_its_connections(self):
        """Guards against addresses that take connections from one another."""
        await self.fill(HEAD + b"x")
        callers = []
        for i in range(2):
            callers.append(await self.connect(HEAD + b"x", local_addr=CALLER))
            await self.wait_begun(MAX_CONNECTIONS + i + 1)
        # Two of four are its share; further ones are refused.
        refused, _ = await self.connect(HEAD + b"x", local_addr=CALLER)
        self.assertEqual(await self.read_to_end(refused), b"")
        for reader, writer in callers:
            writer.write(b"x")
            self.assertIn(b"200 OK", await reader.readline())


class TestPeerGroups(unittest.TestCase):
    """Connections grouped by peer."""

    def test_busiest_peer_is_known_after_any_changes(self):
        """Guards against counts that go wrong when peers come and go."""
        rng = random.Random(7)
        groups, conns = PeerGroups(), []
        for i in range(3_000):
            # Connections become more, then fewer, again and again.
            if not conns or rng.random() < (0.7 if i % 600 < 300 else 0.3):
                conns.append(_Connection(f"peer-{rng.randrange(5)}", Idleness.IN_USE))
                groups.add(conns[-1])
            else:
                groups.remove(conns.pop(rng.randrange(len(conns))))
            sizes = Counter(conn.peer for conn in conns)
            self.assertEqual(groups.max_size, max(sizes.values(), default=0))
            self.assertEqual(groups.n_peers, len(sizes))
            if conns:
                peer = groups.busiest()
                self.assertEqual(sizes[peer], groups.max_size)
                first = next(conn for conn in conns if conn.peer == peer)
                self.assertIs(groups.oldest_of_busiest(), first)


class _Retiring(_Connection):
    def stalls_at(self):
        return None

    def retire(self):
        self.is_aborted = True


class TestRetirement(unittest.TestCase):
    """Connections that are closed after their answers."""

    def test_retiring_connections_are_bounded(self):
        """Guards against answers that never end and connections beyond the limit."""
        for level in (Idleness.IN_USE, Idleness.RECEIVING_BODY):
            table = ConnectionTable(16)
            crowd = [_Retiring("crowd", level) for _ in range(16)]
            for conn in crowd:
                self.assertTrue(table.admit(conn))
            others = [_Retiring(f"peer-{i}", Idleness.IN_USE) for i in range(4)]
            n_admitted = sum(table.admit(conn) for conn in others)
            is_running = level is Idleness.IN_USE
            self.assertEqual(n_admitted, 2 if is_running else 4)
            self.assertEqual(len(table), 18 if is_running else 16)
            for conn in (*crowd, *others):
                table.remove(conn)
            self.assertEqual(len(table), 0)
            self.assertTrue(table.admit(crowd[0]))


class TestCost(unittest.TestCase):
    """The work for each accepted connection at the limit."""

    def test_connections_at_the_limit_are_not_scanned(self):
        """Guards against accepted connections that each look at all others.

        It counts looks, as times depend on the machine.
        """
        n_looks = 0

        class Counted(_Connection):
            def idleness(self):
                nonlocal n_looks
                n_looks += 1
                return self.idle

        table = ConnectionTable(N_CONNECTIONS)
        for i in range(N_CONNECTIONS):
            table.admit(Counted(f"peer-{i % 7}", Idleness.BETWEEN_REQUESTS))
        n_looks, began_at = 0, time.perf_counter()
        for i in range(100):
            table.admit(Counted(f"peer-{i % 7}", Idleness.BETWEEN_REQUESTS))
        took_ms = (time.perf_counter() - began_at) * 1000
        print(f"\n{self.id()}: {n_looks} looks, {took_ms:.1f} ms for 100 connections")
        self.assertLessEqual(n_looks, 10 * 100)
