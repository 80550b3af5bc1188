"""Tests of the end of a replica that leads; the test answers as the other members."""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from msgspec.structs import replace

from redwingslip.clock import ManualClock
from redwingslip.consensus import (
    Append,
    AppendReply,
    DataFolder,
    Replica,
    TimeoutNow,
    VoteReply,
    bootstrap_data_folder,
)
from redwingslip.observe._events import NullSink
from tests.support_consensus import MEMBERS
from tests.test_consensus_replica import FAST, Journal

MAX_STOP_S = 5


class TestStop(unittest.IsolatedAsyncioTestCase):
    """A stop that begins before the leadership of the replica was reported."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "a"
        incarnation = bootstrap_data_folder(path, "a")
        members = (replace(MEMBERS[0], incarnation=incarnation), *MEMBERS[1:])
        files = DataFolder(path)
        files.save_initial_members(files.load("a").identity, members)
        files.close()
        self.sent = asyncio.Queue()
        self.on_append = lambda message: None
        self.clock = ManualClock()
        self.replica = Replica(
            cfg=FAST,
            data_folder=path,
            replica_id="a",
            address="a:1",
            peers={"b": "b:1", "c": "c:1"},
            machine=Journal(),
            send=self.send,
            clock=self.clock,
            rng=random.Random(1),
            events=NullSink(),
        )
        await self.replica.start()

    def send(self, receiver_id, message):
        """Pass an `Append` to the test at once, and record other messages."""
        if receiver_id == "b" and isinstance(message, Append):
            self.on_append(message)
        elif receiver_id == "b":
            self.sent.put_nowait(message)

    def answer(self, message_type, term, **fields):
        """Send a message of the member `b` to the replica."""
        message = message_type(term=term, incarnation="b.0", **fields)
        self.replica.receive("b", message)

    def acknowledge(self, append):
        """Acknowledge the entries of an `Append`."""
        index = append.prev_index + len(append.entries)
        fields = {"success": True, "match_index": index, "round": append.round}
        self.answer(AppendReply, append.term, **fields)

    async def stop_elected(self):
        """Stop the replica in the step of the loop in which it is elected."""
        self.clock.advance(FAST.election_timeout_max)
        # The stop and the last vote come before the next step of the replica.
        for is_pre in (True, False):
            while getattr(await self.sent.get(), "pre", None) is not is_pre:
                pass
            if not is_pre:
                stop = asyncio.create_task(self.replica.stop())
            self.answer(VoteReply, 1, granted=True, pre=is_pre)
        self.answer(AppendReply, 1, success=True, match_index=0, round=1)
        async with asyncio.timeout(MAX_STOP_S):
            await stop
        self.assertFalse(self.replica.is_leader)

    def win_again(self, append):
        """Have `b` lead in term 2 and the replica in term 3."""
        if append.term > 1:
            self.acknowledge(append)
        elif self.replica.term == 1:
            fields = {"prev_index": 0, "prev_term": 0, "commit_index": 0, "round": 1}
            self.answer(Append, 2, entries=(), **fields)
            self.answer(TimeoutNow, 2)
            self.answer(VoteReply, 3, granted=True, pre=False)
            self.answer(AppendReply, 3, success=True, match_index=0, round=1)

    async def test_leadership_won_again_before_its_end_was_reported(self):
        """Guards against a stop without an end, and one without a second transfer."""
        self.on_append = self.win_again
        await self.stop_elected()
        sent = [self.sent.get_nowait() for _ in range(self.sent.qsize())]
        orders = [message for message in sent if isinstance(message, TimeoutNow)]
        self.assertIn(3, [order.term for order in orders])

    async def test_transfer_without_an_end(self):
        """Guards against a stop that waits for a successor without a limit."""
        self.on_append = self.acknowledge
        await self.stop_elected()


if __name__ == "__main__":
    unittest.main()
