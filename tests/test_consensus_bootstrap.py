"""Tests of the agreement on the initial members."""

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
    """Founders that exchange messages during the bootstrap."""

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
        """Have every founder send its requests once and receive the replies."""
        self.now += CFG.election_timeout_min
        for bootstrap_round in self.rounds.values():
            bootstrap_round.tick(self.now)
        for _ in range(3):
            for sender_id, bootstrap_round in self.rounds.items():
                for receiver_id, message in bootstrap_round.take_messages():
                    if receiver_id in self.rounds:
                        self.rounds[receiver_id].receive(sender_id, message)


class TestBootstrapRound(unittest.TestCase):
    """Agreement on the initial members before a log exists."""

    def test_waits_for_all_founders(self):
        """No members are decided while one founder has not replied."""
        founders = FounderGroup()
        founders.start("a")
        founders.start("b")
        founders.run()
        self.assertEqual(founders.rounds["a"].members, ())
        founders.start("c")
        founders.run()
        incarnations = [m.incarnation for m in founders.rounds["a"].members]
        self.assertEqual(incarnations, ["a.0", "b.0", "c.0"])

    def test_only_one_founder_decides_the_members(self):
        """The others adopt its members, so that only one set of members exists."""
        founders = FounderGroup()
        for replica_id in IDS:
            founders.start(replica_id)
        founders.run()
        members = founders.rounds["a"].members
        self.assertEqual(founders.rounds["b"].members, ())
        reply = JoinReply(term=1, incarnation="a.0", members=members)
        founders.rounds["b"].receive("a", reply)
        self.assertEqual(founders.rounds["b"].members, members)

    def test_refuses_bootstrap_beside_a_running_cluster(self):
        """A founder that is not a member of the running cluster refuses."""
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
