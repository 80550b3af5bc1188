"""Tests of open clusters, and of catching up after a network partition."""

import random
import unittest
from datetime import timedelta

from redwingslip.consensus import (
    Append,
    ConsensusSettings,
    HardState,
    Identity,
    LogStart,
    Member,
    RaftNode,
    StoredState,
)
from tests.test_consensus_safety import ClusterMachine

CFG = ConsensusSettings(max_voters=5)
STEP = timedelta(milliseconds=50)
FOUNDERS = tuple(
    Member(replica_id=name, incarnation=f"{name}.0", address=name) for name in "abc"
)


class Network:
    """Nodes with instant disks and links; a cut link can keep a backlog of messages."""

    def __init__(self):
        self.now = timedelta(0)
        self.nodes = {}
        self.cut = set()
        self.backlog = []
        self.keep_backlog = False
        self.n_entries_sent = 0

    def add(self, name, *, members=(), peers="abc", incarnation=0):
        """Start a node on an empty disk."""
        identity = Identity(
            replica_id=name, incarnation=f"{name}.{incarnation}", members=members
        )
        stored = StoredState(
            identity=identity,
            hard_state=HardState(),
            snapshot=None,
            log_start=LogStart(),
            entries=(),
        )
        self.nodes[name] = RaftNode(
            cfg=CFG,
            stored=stored,
            address=name,
            peers=frozenset(peers) - {name},
            rng=random.Random(name),
            now=self.now,
        )

    def run(self, duration):
        """Advance the time, and exchange messages."""
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            for node in self.nodes.values():
                node.tick(self.now)
            for _ in range(4):
                self.exchange()

    def exchange(self):
        """Finish all saves and deliver all messages, unless their link is cut."""
        for name, node in list(self.nodes.items()):
            ready = node.take_ready(self.now)
            if ready.save is not None:
                node.mark_saved(self.now)
            for receiver, message in ready.messages:
                if isinstance(message, Append):
                    self.n_entries_sent += len(message.entries)
                if receiver not in self.nodes:
                    continue
                if {name, receiver} & self.cut:
                    if self.keep_backlog:
                        self.backlog.append((name, receiver, message))
                    continue
                self.nodes[receiver].receive(name, message, self.now)

    def heal(self):
        """Restore all links and deliver the backlog."""
        self.cut.clear()
        delayed, self.backlog = self.backlog, []
        for name, receiver, message in delayed:
            self.nodes[receiver].receive(name, message, self.now)

    def leader(self):
        """Return the leading node that is not cut off."""
        return next(
            node
            for name, node in self.nodes.items()
            if node.is_leader and name not in self.cut
        )

    def voters(self):
        """Return the names of the voters according to the leader."""
        return {m.replica_id for m in self.leader().members if m.voting}


class TestOpenCluster(unittest.TestCase):
    """Initial members, joining replicas and replacements."""

    def setUp(self):
        self.net = Network()
        for name in "abc":
            self.net.add(name, members=FOUNDERS)
        self.net.run(timedelta(seconds=3))

    def test_replicas_that_know_only_seeds_become_voters(self):
        self.net.add("d", peers="a")
        self.net.add("e", peers="b")
        self.net.run(timedelta(seconds=4))
        self.assertEqual(self.net.voters(), set("abcde"))

    def test_number_of_voters_does_not_exceed_max_voters(self):
        for name in "defg":
            self.net.add(name)
        self.net.run(timedelta(seconds=6))
        self.assertEqual(len(self.net.voters()), 5)

    def test_replica_at_another_address_replaces_a_lost_voter(self):
        for name in "de":
            self.net.add(name)
        self.net.run(timedelta(seconds=4))
        lost = next(name for name in "abc" if not self.net.nodes[name].is_leader)
        del self.net.nodes[lost]
        self.net.add("f", peers="".join(sorted(set("abc") - {lost})))
        self.net.run(timedelta(seconds=8))
        self.assertEqual(self.net.voters(), set("abcdef") - {lost})

    def test_unresponsive_voters_stay_while_no_replica_can_replace_them(self):
        for name in "de":
            self.net.add(name)
        self.net.run(timedelta(seconds=4))
        followers = [n for n, node in self.net.nodes.items() if not node.is_leader]
        self.net.cut.update(followers[:2])
        self.net.run(timedelta(seconds=10))
        self.assertEqual(self.net.voters(), set("abcde"))

    def test_replica_with_a_lost_disk_rejoins_under_the_same_name(self):
        lost = next(name for name in "abc" if not self.net.nodes[name].is_leader)
        self.net.add(lost, incarnation=1)
        self.net.run(timedelta(seconds=5))
        self.assertTrue(self.net.leader().is_repaired(lost, f"{lost}.1"))

    def test_unresponsive_voter_is_removed_only_after_another_votes(self):
        """With four voters, the loss of two disks stopped the cluster for good.

        The voter that was removed had its disk and came back, but didn't count.
        """
        for name in "def":
            self.net.add(name)
        self.net.run(timedelta(seconds=6))
        silent = next(n for n in self.net.voters() if not self.net.nodes[n].is_leader)
        self.net.cut.add(silent)
        n_voters = set()
        for _ in range(timedelta(seconds=6) // STEP):
            self.net.now += STEP
            for node in self.net.nodes.values():
                node.tick(self.net.now)
            for _ in range(4):
                self.net.exchange()
                n_voters.add(len(self.net.voters()))
        self.assertEqual(min(n_voters), 5)
        self.assertEqual(self.net.voters(), set("abcdef") - {silent})

    def test_voter_that_returns_before_its_removal_leaves_five_voters(self):
        """A sixth voter stayed when the unresponsive one replied again in between."""
        for name in "def":
            self.net.add(name)
        self.net.run(timedelta(seconds=6))
        silent, *others = (
            n for n in sorted(self.net.voters()) if not self.net.nodes[n].is_leader
        )
        self.net.cut.add(silent)
        while len(self.net.voters()) == 5:
            self.net.exchange()
            self.net.now += STEP
            for node in self.net.nodes.values():
                node.tick(self.net.now)
        # The promotion is committed only with the reply of the one that returns.
        self.net.cut = set(others[:2])
        self.net.run(timedelta(seconds=1))
        self.net.cut.clear()
        self.net.run(timedelta(seconds=2))
        self.assertEqual(len(self.net.voters()), 5)
        self.assertIn(silent, self.net.voters())

    def test_only_seed_rejoins_after_the_loss_of_its_disk(self):
        """A replica that knew only itself never asked the leader to join."""
        for name in "de":
            self.net.add(name)
        self.net.run(timedelta(seconds=4))
        lost = next(name for name in "abc" if not self.net.nodes[name].is_leader)
        self.net.add(lost, peers=lost, incarnation=1)
        self.net.run(timedelta(seconds=5))
        self.assertTrue(self.net.leader().is_repaired(lost, f"{lost}.1"))

    def test_removed_replica_finds_a_leader_that_it_does_not_know(self):
        """A replica whose own log still named it as a member ignored new members."""
        for name in "de":
            self.net.add(name)
        self.net.run(timedelta(seconds=4))
        removed = next(n for n in "abc" if not self.net.nodes[n].is_leader)
        self.net.cut.add(removed)
        for name in "fg":
            self.net.add(name, peers="".join(sorted(set("abc") - {removed})))
            self.net.run(timedelta(seconds=6))
        self.assertTrue(self.net.leader().transfer_leadership(self.net.now, "f"))
        self.net.run(timedelta(seconds=2))
        self.assertEqual(self.net.leader().replica_id, "f")
        self.net.cut.clear()
        self.net.run(timedelta(seconds=5))
        members = {member.replica_id for member in self.net.leader().members}
        self.assertIn(removed, members)


class TestBacklog(unittest.TestCase):
    """A link that delays messages for seconds and then delivers them together."""

    def test_stale_heartbeats_resend_the_log_only_once(self):
        net = Network()
        for name in "abc":
            net.add(name, members=FOUNDERS)
        net.run(timedelta(seconds=3))
        leader = net.leader()
        follower = next(n for n in "abc" if n != leader.replica_id)
        net.cut.add(follower)
        n_entries = 200
        for number in range(n_entries):
            leader.propose(b"%d" % number)
            net.run(STEP)
        # The entries are lost, but the heartbeats sent after them arrive.
        net.keep_backlog = True
        net.run(timedelta(milliseconds=500))
        net.n_entries_sent = 0
        net.heal()
        net.run(timedelta(seconds=2))
        self.assertEqual(net.nodes[follower].commit_index, leader.commit_index)
        self.assertLess(net.n_entries_sent, 3 * n_entries)

    def test_fuzzed_case_of_a_longer_log_of_an_older_term(self):
        """A case of the fuzzer: the leader's retry always ended at the same hint.

        The seed 149 led to it.
        """
        machine = ClusterMachine()
        machine.set_up(seed=149)
        machine.lose_two_disks(first="leader", n_proposals=4, second=1)
        machine.power_cut(apart=True, n_proposals=2, n_steps=0)
        machine.teardown()

    def test_longer_log_of_an_older_term_is_replaced(self):
        """A longer log hides the index where it diverges from the leader's log.

        Each rejection must move the leader's retry further back.
        """
        net = Network()
        for name in "abc":
            net.add(name, members=FOUNDERS)
        net.run(timedelta(seconds=3))
        old = net.leader()
        net.cut.add(old.replica_id)
        for number in range(6):
            old.propose(b"old %d" % number)
        net.run(timedelta(seconds=4))
        new = net.leader()
        for number in range(3):
            new.propose(b"new %d" % number)
        net.run(timedelta(seconds=1))
        net.heal()
        net.run(timedelta(seconds=3))
        indexes = {node.commit_index for node in net.nodes.values()}
        self.assertEqual(len(indexes), 1)
