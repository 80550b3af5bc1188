"""Tests of the client of the operators' interface against faulty servers."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.cli._client import ClientSettings, Document, OperatorClient
from redwingslip.cli.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    NotReachedError,
    TooOldError,
    UnauthorizedError,
    UnknownOutcomeError,
)
from redwingslip.fleet import Kind

from .fake_operators import LATE_BY_S, TOKEN, FakeFleet, FakeServer, Fault

SHORT_TIMEOUT = timedelta(milliseconds=300)
POOL = Document(kind=Kind.POOL, name="a", spec={})


class TestOperatorClient(unittest.IsolatedAsyncioTestCase):
    """Requests to several servers, some of which fail."""

    def setUp(self):
        """Start two servers of one fleet."""
        self.fleet = FakeFleet()
        self.first = self.enterContext(FakeServer(self.fleet))
        self.second = self.enterContext(FakeServer(self.fleet))

    def client(self, *urls: str, token: str = TOKEN, **options) -> OperatorClient:
        """Return a client of the given servers, by default of both."""
        servers = urls or (self.first.url, self.second.url)
        return OperatorClient(ClientSettings(servers=servers, token=token, **options))

    async def test_write_with_a_lost_answer_is_applied_once(self):
        """However the answer is lost, the resend gets the first write's outcome."""
        for fault in (Fault.LOSE, Fault.CUT, Fault.UNCONFIRMED, Fault.HANG):
            with self.subTest(fault):
                self.fleet.commands.clear()
                self.first.faults.append(fault)
                pool = Document(kind=Kind.POOL, name=fault.name.lower())
                client = self.client(attempt_timeout=SHORT_TIMEOUT)
                written = await client.put(pool, if_version=0)
                first, resend = self.fleet.commands
                self.assertEqual(first.operation_id, resend.operation_id)
                self.assertNotEqual(first.operation_id, "")
                self.assertEqual(written.version, 1)

    async def test_different_writes_have_different_operation_ids(self):
        """A second write is not mistaken for a resend of the first."""
        client = self.client()
        for _ in range(2):
            await client.put(POOL, if_version=None)
        self.assertEqual(len({cmd.operation_id for cmd in self.fleet.commands}), 2)

    async def test_lost_answer_does_not_reach_the_next_request(self):
        """A request after a timeout gets its own answer, not the late one."""
        self.first.faults.append(Fault.LATE)
        client = self.client(self.first.url, attempt_timeout=SHORT_TIMEOUT)
        await client.put(POOL, if_version=0)
        other = Document(kind=Kind.POOL, name="b")
        self.assertEqual((await client.put(other, if_version=0)).name, "b")
        await asyncio.sleep(LATE_BY_S)
        self.assertEqual((await client.get(Kind.POOL, "a")).name, "a")

    async def test_unreachable_server_is_skipped(self):
        """Nothing listens at the first URL."""
        client = self.client("http://127.0.0.1:9", self.second.url)
        self.assertEqual((await client.put(POOL, if_version=0)).version, 1)

    async def test_not_reached_means_that_nothing_was_done(self):
        """A refused connection or an answer "not run" is not an unknown outcome."""
        self.first.faults.extend([Fault.NOT_RUN] * 100)
        for url in ("http://127.0.0.1:9", self.first.url):
            with self.subTest(url), self.assertRaises(NotReachedError):
                await self.client(url, timeout=SHORT_TIMEOUT).put(POOL, if_version=0)
        self.assertEqual(self.fleet.commands, [])

    async def test_lost_answers_of_all_servers_are_an_unknown_outcome(self):
        """The error names the operation id for repeating the write."""
        self.first.faults.extend([Fault.LOSE] * 100)
        client = self.client(self.first.url, timeout=SHORT_TIMEOUT)
        with self.assertRaises(UnknownOutcomeError) as caught:
            await client.put(POOL, if_version=0)
        operation_id = self.fleet.commands[0].operation_id
        self.assertIn(operation_id, str(caught.exception))
        self.first.faults.clear()
        again = await client.put(POOL, if_version=0, operation_id=operation_id)
        self.assertEqual(again.version, 1)

    async def test_each_kind_of_refusal_has_its_own_error(self):
        """Conflict, unknown name, invalid field and wrong token differ."""
        client = self.client()
        await client.put(POOL, if_version=0)
        with self.assertRaisesRegex(ConflictError, "current version is 1"):
            await client.put(POOL, if_version=0)
        with self.assertRaises(NotFoundError):
            await client.get(Kind.POOL, "absent")
        vm = Document(kind=Kind.VM, name="v", spec={"pool": "x", "data_centre": "d"})
        with self.assertRaisesRegex(InvalidInputError, "spec.pool"):
            await client.put(vm, if_version=0)
        with self.assertRaises(UnauthorizedError):
            await self.client(token="other").status()

    async def test_watch_continues_after_a_lost_connection(self):
        """The watch continues from the last bookmark, and ends if that is too old."""
        record = {"kind": "pools", "name": "a", "version": 3, "spec": {}}
        self.fleet.watch_lines = [
            {"resource": record},
            {"bookmark": 3, "in_force": 2},
            {"deleted": {"kind": "pools", "name": "a"}},
        ]
        lines = []
        with self.assertRaises(TooOldError):
            async for line in self.client().watch(Kind.POOL, 0):
                lines.append(line)
        self.assertEqual(lines[0].resource.version, 3)
        self.assertEqual(lines[1].bookmark, 3)
        self.assertEqual(lines[2].deleted.name, "a")
        self.assertEqual(self.fleet.n_watches, 4)


if __name__ == "__main__":
    unittest.main()
