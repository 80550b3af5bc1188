"""Tests of how the founding members agree."""

import unittest
from datetime import timedelta

from redwingslip.consensus import (
    BootstrapRefusedError,
    BootstrapRound,
    ConsensusSettings,
    Identity,
    JoinReply,
)

CFG = ConsensusSettings()
IDS = ("a", "b", "c")


class FounderGroup:
    """Founding rounds that talk to each other."""

    def __init__(self):
        self.now = timedelta(0)
        self.rounds = {}

    def start(self, replica_id, incarnation="0"):
        """Start a founder."""
        self.rounds[replica_id] = BootstrapRound(
            cfg=CFG,
            identity=Identity(
                replica_id=replica_id,
                incarnation=f"{replica_id}.{incarnation}",
                founder=True,
            ),
            address=f"{replica_id}:1",
            peers={peer: f"{peer}:1" for peer in IDS if peer != replica_id},
            now=self.now,
        )

    def run(self):
        """Let everybody ask once and answer."""
        self.now += CFG.election_timeout_min
        for bootstrap_round in self.rounds.values():
            bootstrap_round.tick(self.now)
        for _ in range(3):
            for sender_id, bootstrap_round in self.rounds.items():
                for receiver_id, message in bootstrap_round.take_messages():
                    if receiver_id in self.rounds:
                        self.rounds[receiver_id].receive(sender_id, message)


class TestFoundingRound(unittest.TestCase):
    """Agreement before there is a log."""

    def test_waits_for_all_founders(self):
        """Nothing is founded while one founder has not answered."""
        founders = FounderGroup()
        founders.start("a")
        founders.start("b")
        founders.run()
        self.assertEqual(founders.rounds["a"].members, ())
        founders.start("c")
        founders.run()
        incarnations = [m.incarnation for m in founders.rounds["a"].members]
        self.assertEqual(incarnations, ["a.0", "b.0", "c.0"])

    def test_only_one_founder_fixes_the_members(self):
        """The others take the members over, so that there is one set of them."""
        founders = FounderGroup()
        for replica_id in IDS:
            founders.start(replica_id)
        founders.run()
        members = founders.rounds["a"].members
        self.assertEqual(founders.rounds["b"].members, ())
        reply = JoinReply(term=1, incarnation="a.0", members=members)
        founders.rounds["b"].receive("a", reply)
        self.assertEqual(founders.rounds["b"].members, members)

    def test_refuses_beside_a_living_log(self):
        """A founder that is not among the members of a living log refuses."""
        founders = FounderGroup()
        for replica_id in IDS:
            founders.start(replica_id)
        founders.run()
        reply = JoinReply(
            term=7, incarnation="a.0", members=founders.rounds["a"].members
        )
        for replica_id in ("a", "b"):
            founders.start(replica_id, incarnation="1")
            with self.assertRaises(BootstrapRefusedError):
                founders.rounds[replica_id].receive("c", reply)
            self.assertEqual(founders.rounds[replica_id].members, ())


if __name__ == "__main__":
    unittest.main()
