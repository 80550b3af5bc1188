"""Tests of a leading node, and of replicas that join."""

import unittest
from datetime import timedelta

from redwingslip.consensus import (
    Append,
    JoinReply,
    JoinRequest,
    NotLeaderError,
    TimeoutNow,
)
from tests.support_consensus import CFG, NodeTestCase, entry


class TestLeader(NodeTestCase):
    """Commits, the quorum lease and leadership transfers."""

    def test_old_entries_are_not_committed_by_counting(self):
        """Entries of earlier terms commit only with the leader's own first entry."""
        self.make_node([entry(1, 1)], term=1)
        self.elect()
        self.ack("b", 1)
        self.assertEqual(self.node.commit_index, 0)
        self.ack("b", 2)
        self.assertEqual(self.node.commit_index, 2)

    def test_acknowledgement_of_another_incarnation_is_ignored(self):
        """Only acknowledgements of the member's current incarnation count."""
        self.make_node()
        self.elect()
        self.ack("b", 1, incarnation="b.1")
        self.assertEqual(self.node.commit_index, 0)
        self.assertFalse(self.node.has_quorum_lease(self.now))

    def test_lease_starts_when_the_heartbeat_was_sent(self):
        """A late reply proves contact only at the time when its heartbeat was sent."""
        self.make_node()
        self.elect()
        sent_at = self.now
        self.now += CFG.lease_duration - timedelta(milliseconds=1)
        self.ack("b", 1)
        self.assertTrue(self.node.has_quorum_lease(self.now))
        self.now = sent_at + CFG.lease_duration
        self.assertFalse(self.node.has_quorum_lease(self.now))

    def test_lease_allows_for_clock_rate_errors(self):
        """The lease is shorter than the time for which followers withhold votes."""
        self.assertLess(CFG.lease_duration, CFG.election_timeout_min * 0.96)

    def test_steps_down_without_a_quorum(self):
        """A leader without contact to a quorum steps down."""
        self.make_node()
        self.elect()
        self.pass_time(CFG.election_timeout_max)
        self.assertFalse(self.node.is_leader)

    def test_steps_down_when_its_disk_stalls(self):
        """A leader with a stalled disk steps down, although its followers reply."""
        self.make_node()
        self.elect()
        self.ack("b", 1)
        self.node.propose(b"x")
        self.node.take_ready(self.now)
        since = self.now
        while self.now < since + CFG.disk_timeout:
            self.assertTrue(self.node.is_leader)
            self.pass_time(CFG.heartbeat_interval)
            for message in self.messages_of_type(self.send_without_disk(), Append):
                self.ack("b", 1, round_=message.round)
        self.assertFalse(self.node.is_leader)

    def send_without_disk(self):
        """Return the messages sent while the disk is stalled."""
        return self.node.take_ready(self.now).messages

    def test_transfer_ends_the_lease(self):
        """A leader that transfers its leadership has no lease and rejects proposals."""
        self.make_node()
        self.elect()
        self.ack("b", 1)
        self.assertTrue(self.node.transfer_leadership(self.now))
        self.assertFalse(self.node.has_quorum_lease(self.now))
        self.assertEqual(len(self.messages_of_type(self.finish_saves(), TimeoutNow)), 1)
        with self.assertRaises(NotLeaderError):
            self.node.propose(b"x")

    def test_rejection_restarts_at_the_end_of_the_followers_log(self):
        """After a rejection the leader sends entries from the follower's hint on."""
        self.make_node([entry(i, 1) for i in range(1, 9)], term=1)
        self.elect()
        self.ack("b", 3, success=False)
        (message,) = self.messages_of_type(self.finish_saves(), Append)
        self.assertEqual(message.prev_index, 3)
        self.assertEqual(len(message.entries), 6)


class TestReplicationLoad(NodeTestCase):
    """A leader to which many commands are proposed one by one."""

    def setUp(self):
        self.make_node()
        self.elect()
        for sender in ("b", "c"):
            self.ack(sender, 1)
        self.finish_saves()

    def propose(self, n_commands):
        """Propose commands, each in a step of its own; return the messages to `b`."""
        sent = []
        for _ in range(n_commands):
            self.node.propose(b"x")
            sent += self.messages_to_b()
        return sent

    def messages_to_b(self):
        """Return the messages that the node sends to `b`."""
        return [m.message for m in self.finish_saves() if m.receiver_id == "b"]

    def test_commands_share_a_message_while_a_follower_saves(self):
        """Guards against a leader that is busy sending one message per command.

        Pattern: many small commands arrive while a follower saves the first one.
        """
        (first,) = self.propose(100)
        self.assertEqual(len(first.entries), 1)
        self.ack("b", 2)
        (second,) = self.messages_to_b()
        self.assertEqual(len(second.entries), 99)
        self.assertEqual(self.node.commit_index, 2)
        self.ack("b", 101)
        self.assertEqual(self.node.commit_index, 101)

    def test_a_lost_message_is_sent_again_after_the_next_heartbeat(self):
        """Guards against a leader that waits for the reply to a lost message."""
        self.propose(2)
        self.pass_time(CFG.heartbeat_interval)
        (heartbeat,) = self.messages_to_b()
        self.assertEqual((heartbeat.prev_index, heartbeat.entries), (2, ()))
        self.ack("b", 1, round_=heartbeat.round, success=False)
        (again,) = self.messages_to_b()
        self.assertEqual([e.index for e in again.entries], [2, 3])

    def test_a_heartbeat_makes_up_for_a_lost_reply(self):
        self.propose(2)
        self.pass_time(CFG.heartbeat_interval)
        (heartbeat,) = self.messages_to_b()
        self.ack("b", 2, round_=heartbeat.round)
        (message,) = self.messages_to_b()
        self.assertEqual([e.index for e in message.entries], [3])


class TestJoiner(NodeTestCase):
    """A member that joins again after the loss of its disk."""

    def join(self, challenge=0, incarnation="c.1"):
        """Pass a join request of `c` to the node; return the challenges sent."""
        request = JoinRequest(
            term=0, incarnation=incarnation, address="c:1", challenge=challenge
        )
        self.receive("c", request)
        replies = self.messages_of_type(self.finish_saves(), JoinReply)
        return [reply.challenge for reply in replies]

    def joiner(self):
        """Return the member `c`."""
        return self.node.members[2]

    def lead(self):
        """Make the node a leader that has committed its first entry."""
        self.make_node()
        self.elect()
        self.ack("b", 1)

    def test_join_request_must_repeat_the_challenge(self):
        """A delayed join request must not restore a replaced incarnation."""
        self.lead()
        (challenge,) = self.join()
        self.assertEqual(self.joiner().incarnation, "c.0")
        self.join(challenge + 1)
        self.assertEqual(self.joiner().incarnation, "c.0")
        self.join(challenge)
        self.assertEqual(self.joiner().incarnation, "c.1")
        self.assertFalse(self.joiner().voting)

    def test_no_change_before_the_first_entry_of_the_term(self):
        """A new leader changes members only once its own first entry is committed."""
        self.make_node()
        self.elect()
        self.join(*self.join())
        self.assertEqual(self.joiner().incarnation, "c.0")
        self.ack("b", 1)
        self.assertEqual(self.joiner().incarnation, "c.1")

    def test_learner_becomes_a_voter_when_it_holds_everything(self):
        """A learner is promoted only once it has all committed entries on its disk."""
        self.lead()
        self.join(*self.join())
        for _ in range(3):
            self.node.propose(b"x")
        self.finish_saves()
        self.ack("b", 5)
        self.ack("c", 4, incarnation="c.1")
        self.assertFalse(self.joiner().voting)
        self.ack("c", 5, incarnation="c.1")
        self.finish_saves()
        self.assertTrue(self.joiner().voting)

    def test_repaired_once_the_joiner_holds_its_own_promotion(self):
        """A replica counts as repaired only once it acknowledges its own promotion."""
        self.lead()
        self.join(*self.join())
        self.ack("b", 2)
        self.ack("c", 2, incarnation="c.1")
        self.finish_saves()
        self.ack("b", 3)
        self.assertEqual(self.node.commit_index, 3)
        self.assertFalse(self.node.is_repaired("c", "c.1"))
        self.ack("c", 3, incarnation="c.1")
        self.assertTrue(self.node.is_repaired("c", "c.1"))
        self.assertFalse(self.node.is_repaired("c", "c.0"))

    def test_one_change_at_a_time(self):
        """The next member change waits until the previous one is committed."""
        self.lead()
        self.join(*self.join())
        self.ack("c", 1, incarnation="c.1")
        self.assertEqual(self.node.last_index, 2)
        self.join(*self.join(incarnation="c.2"), incarnation="c.2")
        self.assertEqual(self.node.last_index, 2)
        self.ack("b", 2)
        self.assertEqual(self.node.last_index, 3)
        self.assertEqual(self.joiner().incarnation, "c.2")


if __name__ == "__main__":
    unittest.main()
