"""Support for tests that pass messages to a single node and finish its saves."""

import random
import unittest
from datetime import timedelta

from redwingslip.consensus import (
    Append,
    AppendReply,
    ConsensusSettings,
    EntryKind,
    HardState,
    Identity,
    LogEntry,
    Member,
    RaftNode,
    StoredState,
    VoteReply,
    VoteRequest,
)

CFG = ConsensusSettings()
MEMBERS = tuple(
    Member(replica_id=name, incarnation=f"{name}.0", address=f"{name}:1")
    for name in ("a", "b", "c")
)
MIN_TIMEOUT = CFG.election_timeout_min
MAX_TIMEOUT = CFG.election_timeout_max


def entry(index, term, data=b"x"):
    """Return a log entry with a command."""
    return LogEntry(index, term, EntryKind.COMMAND, data)


class NodeTestCase(unittest.TestCase):
    """Base of tests with the node `a` of the members `a`, `b` and `c`."""

    def make_node(self, entries=(), term=0):
        """Start the node from stored entries and a stored term."""
        self.now = timedelta(seconds=1)
        stored = StoredState(
            identity=Identity(replica_id="a", incarnation="a.0", members=MEMBERS),
            hard_state=HardState(term=term),
            entries=tuple(entries),
        )
        self.node = RaftNode(
            cfg=CFG,
            stored=stored,
            address="a:1",
            peers=frozenset("bc"),
            rng=random.Random(1),
            now=self.now,
        )

    def receive(self, sender, message):
        """Pass a message to the node."""
        self.node.receive(sender, message, self.now)

    def finish_saves(self):
        """Finish all saves of the node; return the messages sent meanwhile."""
        messages = []
        while True:
            ready = self.node.take_ready(self.now)
            messages.extend(ready.messages)
            if ready.save is None:
                return messages
            self.node.mark_saved(self.now)

    def pass_time(self, duration):
        """Advance the clock and tick."""
        self.now += duration
        self.node.tick(self.now)

    def vote_request(self, sender, term, **kwargs):
        """Pass a vote request to the node, from a member with a longer log."""
        fields = {"last_index": 99, "last_term": term - 1, "pre": False, **kwargs}
        request = VoteRequest(term=term, incarnation=f"{sender}.0", **fields)
        self.receive(sender, request)

    def vote(self, sender, term, *, pre, incarnation=None):
        """Pass a granted vote to the node."""
        incarnation = incarnation or f"{sender}.0"
        reply = VoteReply(term=term, incarnation=incarnation, granted=True, pre=pre)
        self.receive(sender, reply)

    def append(self, term, entries=(), prev=(0, 0), commit=0):
        """Pass entries of the leader `b` to the node."""
        message = Append(
            term=term,
            incarnation="b.0",
            prev_index=prev[0],
            prev_term=prev[1],
            entries=tuple(entries),
            commit_index=commit,
            round=1,
        )
        self.receive("b", message)

    def elect(self):
        """Have the node elected, with the first entry of its term on its disk."""
        while self.node.role == "follower":
            self.pass_time(timedelta(milliseconds=50))
        term = self.node.term + 1
        self.vote("b", term, pre=True)
        self.finish_saves()
        self.vote("b", term, pre=False)
        self.assertTrue(self.node.is_leader)
        self.finish_saves()

    def ack(self, sender, index, *, round_=1, incarnation=None, success=True):
        """Pass a reply to an `Append` to the node."""
        reply = AppendReply(
            term=self.node.term,
            incarnation=incarnation or f"{sender}.0",
            success=success,
            match_index=index,
            round=round_,
        )
        self.receive(sender, reply)

    def messages_of_type(self, messages, message_type):
        """Return the messages of one type, without their envelopes."""
        return [m.message for m in messages if isinstance(m.message, message_type)]
