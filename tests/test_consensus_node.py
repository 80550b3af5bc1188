"""Tests of `RaftNode` with hand-made messages."""

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
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    NotLeaderError,
    RaftNode,
    StoredState,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

CFG = ConsensusSettings()
MEMBERS = tuple(
    Member(replica_id=name, incarnation=f"{name}.0", address=f"{name}:1")
    for name in ("a", "b", "c")
)
AFTER_SILENCE = CFG.election_timeout_min
AFTER_TIMEOUT = CFG.election_timeout_max


def entry(index, term, data=b"x"):
    """Return a command's entry."""
    return LogEntry(index, term, EntryKind.COMMAND, data)


class NodeTestCase(unittest.TestCase):
    """Base with the node `a` of the members `a`, `b` and `c`."""

    def make_node(self, entries=(), term=0):
        """Start the node on a disk."""
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
        """Pass a message in."""
        self.node.receive(sender, message, self.now)

    def sync(self):
        """Let the disk do all it is asked for; return the messages sent meanwhile."""
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
        """Pass a request for a vote in from a member with a long log."""
        fields = {"last_index": 99, "last_term": term - 1, "pre": False, **kwargs}
        request = VoteRequest(term=term, incarnation=f"{sender}.0", **fields)
        self.receive(sender, request)

    def vote(self, sender, term, *, pre, incarnation=None):
        """Pass a vote in."""
        incarnation = incarnation or f"{sender}.0"
        reply = VoteReply(term=term, incarnation=incarnation, granted=True, pre=pre)
        self.receive(sender, reply)

    def append(self, term, entries=(), prev=(0, 0), commit=0):
        """Pass entries of the leader `b` in."""
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
        """Make the node the leader, with its first entry on its disk."""
        while self.node.role == "follower":
            self.pass_time(timedelta(milliseconds=50))
        term = self.node.term + 1
        self.vote("b", term, pre=True)
        self.sync()
        self.vote("b", term, pre=False)
        self.assertTrue(self.node.is_leader)
        self.sync()

    def ack(self, sender, index, *, round_=1, incarnation=None, success=True):
        """Pass an acknowledgement in."""
        reply = AppendReply(
            term=self.node.term,
            incarnation=incarnation or f"{sender}.0",
            success=success,
            match_index=index,
            round=round_,
        )
        self.receive(sender, reply)

    def of_type(self, messages, message_type):
        """Return the messages of one type."""
        return [m.message for m in messages if isinstance(m.message, message_type)]


class TestSync(NodeTestCase):
    """Nothing is acknowledged before it is on disk."""

    def test_entries_are_acknowledged_after_the_sync(self):
        """An acknowledgement waits until the entries are on disk."""
        self.make_node(term=1)
        self.append(1, [entry(1, 1)])
        ready = self.node.take_ready(self.now)
        self.assertEqual(self.of_type(ready.messages, AppendReply), [])
        self.assertEqual(ready.save.entries, (entry(1, 1),))
        self.node.mark_saved(self.now)
        (reply,) = self.of_type(self.sync(), AppendReply)
        self.assertEqual(reply.match_index, 1)

    def test_entries_that_come_during_a_sync_wait_for_the_next(self):
        """A sync that began before an entry came does not cover it."""
        self.make_node()
        self.append(1, [entry(1, 1)])
        self.node.take_ready(self.now)
        self.append(1, [entry(2, 1)], prev=(1, 1))
        self.node.mark_saved(self.now)
        replies = self.of_type(self.node.take_ready(self.now).messages, AppendReply)
        self.assertEqual([reply.match_index for reply in replies], [1])

    def test_vote_is_given_after_the_sync(self):
        """A vote waits until it is on disk."""
        self.make_node()
        self.pass_time(AFTER_SILENCE)
        self.vote_request("b", 1)
        ready = self.node.take_ready(self.now)
        self.assertEqual(self.of_type(ready.messages, VoteReply), [])
        self.assertEqual(ready.save.hard_state.voted_for, ("b", "b.0"))
        self.node.mark_saved(self.now)
        (reply,) = self.of_type(self.sync(), VoteReply)
        self.assertTrue(reply.granted)

    def test_leader_counts_its_own_entry_after_the_sync(self):
        """One acknowledgement of three does not commit before the leader's disk."""
        self.make_node()
        self.elect()
        self.ack("b", 1)
        written = self.node.propose(b"x")
        self.node.take_ready(self.now)
        self.ack("b", written.index)
        self.assertEqual(self.node.commit_index, 1)
        self.node.mark_saved(self.now)
        self.assertEqual(self.node.commit_index, written.index)

    def test_acknowledgement_of_replaced_entries_is_dropped(self):
        """What a new leader replaced during the sync is not acknowledged."""
        self.make_node()
        self.append(1, [entry(1, 1), entry(2, 1)])
        self.node.take_ready(self.now)
        self.append(2, [entry(1, 2), entry(2, 2)])
        self.node.mark_saved(self.now)
        replies = self.of_type(self.sync(), AppendReply)
        self.assertEqual([(r.term, r.match_index) for r in replies], [(2, 2)])

    def test_only_synced_entries_are_applied(self):
        """A committed entry is applied once it is on the own disk."""
        self.make_node()
        self.append(1, [entry(1, 1)], commit=1)
        self.assertEqual(self.node.take_ready(self.now).committed, ())
        self.node.mark_saved(self.now)
        self.assertEqual(self.node.take_ready(self.now).committed, (entry(1, 1),))


class TestVotes(NodeTestCase):
    """Who gets a vote, and whose counts."""

    def votes(self):
        """Return who was granted a vote just now."""
        return [r.granted for r in self.of_type(self.sync(), VoteReply)]

    def test_one_vote_in_a_term(self):
        """The second candidate of a term gets no vote."""
        self.make_node()
        self.pass_time(AFTER_SILENCE)
        self.vote_request("b", 1)
        self.vote_request("c", 1)
        self.assertEqual(self.votes(), [True, False])

    def test_new_incarnation_is_another_candidate(self):
        """A vote for the incarnation before is no vote for the one after."""
        self.make_node()
        self.pass_time(AFTER_SILENCE)
        self.vote_request("b", 1)
        request = VoteRequest(
            term=1, incarnation="b.1", last_index=99, last_term=0, pre=False
        )
        self.receive("b", request)
        self.assertEqual(self.votes(), [True, False])

    def test_shorter_log_gets_no_vote(self):
        """A candidate that lacks entries gets no vote."""
        self.make_node([entry(1, 1), entry(2, 1)], term=1)
        self.pass_time(AFTER_SILENCE)
        self.vote_request("b", 2, last_index=1, last_term=1)
        self.assertEqual(self.votes(), [False])

    def test_no_vote_while_a_leader_is_heard(self):
        """Who heard a leader gives no vote within the minimum election timeout."""
        self.make_node()
        self.pass_time(AFTER_TIMEOUT)
        self.append(1)
        self.sync()
        self.now += AFTER_SILENCE * 0.9
        self.vote_request("c", 2)
        self.assertEqual(self.votes(), [])
        self.assertEqual(self.node.term, 1)
        self.now += AFTER_SILENCE * 0.1
        self.vote_request("c", 2)
        self.assertEqual(self.votes(), [True])

    def test_no_vote_just_after_a_restart(self):
        """A restarted member may have heard a leader, so it gives no vote at first."""
        self.make_node()
        self.now += AFTER_SILENCE * 0.9
        self.vote_request("c", 1)
        self.assertEqual(self.votes(), [])

    def test_vote_of_another_incarnation_is_void(self):
        """A vote counts only from the incarnation that is the member."""
        self.make_node()
        while self.node.role == "follower":
            self.pass_time(timedelta(milliseconds=50))
        self.vote("b", 1, pre=True)
        self.sync()
        self.vote("b", 1, pre=False, incarnation="b.1")
        self.assertFalse(self.node.is_leader)
        self.vote("b", 1, pre=False)
        self.assertTrue(self.node.is_leader)


class TestFollower(NodeTestCase):
    """Taking over the leader's log."""

    def test_commits_only_what_the_leader_confirmed(self):
        """Entries behind the confirmed ones may differ and are not committed."""
        self.make_node([entry(1, 1), entry(2, 1)], term=1)
        self.append(2, prev=(1, 1), commit=2)
        self.assertEqual(self.node.commit_index, 1)

    def test_members_go_back_with_the_log(self):
        """A change of members that is truncated is no longer in effect."""
        data = b"\x90"  # no members
        self.make_node()
        self.append(1, [LogEntry(1, 1, EntryKind.MEMBERSHIP, data)])
        self.assertEqual(self.node.members, ())
        self.append(2, [entry(1, 2)])
        self.assertEqual(self.node.members, MEMBERS)


class TestLeader(NodeTestCase):
    """Committing, the lease and handing over."""

    def test_old_entries_are_not_committed_by_counting(self):
        """Entries of earlier terms commit with the first of the leader's own."""
        self.make_node([entry(1, 1)], term=1)
        self.elect()
        self.ack("b", 1)
        self.assertEqual(self.node.commit_index, 0)
        self.ack("b", 2)
        self.assertEqual(self.node.commit_index, 2)

    def test_acknowledgement_of_another_incarnation_is_void(self):
        """An acknowledgement counts only from the incarnation that is the member."""
        self.make_node()
        self.elect()
        self.ack("b", 1, incarnation="b.1")
        self.assertEqual(self.node.commit_index, 0)
        self.assertFalse(self.node.has_quorum_lease(self.now))

    def test_lease_counts_from_the_sending(self):
        """A late answer proves contact at the time of its heartbeat."""
        self.make_node()
        self.elect()
        sent_at = self.now
        self.now += CFG.lease_duration - timedelta(milliseconds=1)
        self.ack("b", 1)
        self.assertTrue(self.node.has_quorum_lease(self.now))
        self.now = sent_at + CFG.lease_duration
        self.assertFalse(self.node.has_quorum_lease(self.now))

    def test_lease_leaves_room_for_the_clocks_rates(self):
        """The lease is shorter than the followers' silence by the margin."""
        self.assertLess(CFG.lease_duration, CFG.election_timeout_min * 0.96)

    def test_steps_down_without_a_quorum(self):
        """A leader that hears of no quorum gives up."""
        self.make_node()
        self.elect()
        self.pass_time(CFG.election_timeout_max)
        self.assertFalse(self.node.is_leader)

    def test_steps_down_when_its_disk_hangs(self):
        """A leader whose disk hangs gives up, although it hears its followers."""
        self.make_node()
        self.elect()
        self.ack("b", 1)
        self.node.propose(b"x")
        self.node.take_ready(self.now)
        since = self.now
        while self.now < since + CFG.disk_timeout:
            self.assertTrue(self.node.is_leader)
            self.pass_time(CFG.heartbeat_interval)
            for message in self.of_type(self.send_without_disk(), Append):
                self.ack("b", 1, round_=message.round)
        self.assertFalse(self.node.is_leader)

    def send_without_disk(self):
        """Return what is sent while the disk does nothing."""
        return self.node.take_ready(self.now).messages

    def test_transfer_ends_the_lease(self):
        """Who hands over has no lease and takes no proposals."""
        self.make_node()
        self.elect()
        self.ack("b", 1)
        self.assertTrue(self.node.transfer_leadership(self.now))
        self.assertFalse(self.node.has_quorum_lease(self.now))
        self.assertEqual(len(self.of_type(self.sync(), TimeoutNow)), 1)
        with self.assertRaises(NotLeaderError):
            self.node.propose(b"x")

    def test_reject_goes_back_to_the_followers_log(self):
        """After a reject the leader sends from where the follower ends."""
        self.make_node([entry(i, 1) for i in range(1, 9)], term=1)
        self.elect()
        self.ack("b", 3, success=False)
        (message,) = self.of_type(self.sync(), Append)
        self.assertEqual(message.prev_index, 3)
        self.assertEqual(len(message.entries), 6)


class TestNewcomer(NodeTestCase):
    """A member whose disk was lost."""

    def join(self, challenge=0, incarnation="c.1"):
        """Pass an announcement of `c` in and return the challenges sent."""
        request = JoinRequest(
            term=0, incarnation=incarnation, address="c:1", challenge=challenge
        )
        self.receive("c", request)
        replies = self.of_type(self.sync(), JoinReply)
        return [reply.challenge for reply in replies]

    def newcomer(self):
        """Return the member `c`."""
        return self.node.members[2]

    def lead(self):
        """Make the node a leader that has committed its first entry."""
        self.make_node()
        self.elect()
        self.ack("b", 1)

    def test_announcement_must_be_fresh(self):
        """A late announcement does not bring a replaced incarnation back."""
        self.lead()
        (challenge,) = self.join()
        self.assertEqual(self.newcomer().incarnation, "c.0")
        self.join(challenge + 1)
        self.assertEqual(self.newcomer().incarnation, "c.0")
        self.join(challenge)
        self.assertEqual(self.newcomer().incarnation, "c.1")
        self.assertFalse(self.newcomer().voting)

    def test_no_change_before_the_first_entry_of_the_term(self):
        """A new leader changes members once its own first entry is committed."""
        self.make_node()
        self.elect()
        self.join(*self.join())
        self.assertEqual(self.newcomer().incarnation, "c.0")
        self.ack("b", 1)
        self.assertEqual(self.newcomer().incarnation, "c.1")

    def test_learner_becomes_a_voter_when_it_holds_everything(self):
        """The promotion waits for all committed entries on the newcomer's disk."""
        self.lead()
        self.join(*self.join())
        for _ in range(3):
            self.node.propose(b"x")
        self.sync()
        self.ack("b", 5)
        self.ack("c", 4, incarnation="c.1")
        self.assertFalse(self.newcomer().voting)
        self.ack("c", 5, incarnation="c.1")
        self.sync()
        self.assertTrue(self.newcomer().voting)

    def test_repaired_once_the_newcomer_holds_its_own_promotion(self):
        """The newcomer is reported only when it has acknowledged being a voter."""
        self.lead()
        self.join(*self.join())
        self.ack("b", 2)
        self.ack("c", 2, incarnation="c.1")
        self.sync()
        self.ack("b", 3)
        self.assertEqual(self.node.commit_index, 3)
        self.assertFalse(self.node.is_repaired("c", "c.1"))
        self.ack("c", 3, incarnation="c.1")
        self.assertTrue(self.node.is_repaired("c", "c.1"))
        self.assertFalse(self.node.is_repaired("c", "c.0"))

    def test_one_change_at_a_time(self):
        """The next change waits until the one before is committed."""
        self.lead()
        self.join(*self.join())
        self.ack("c", 1, incarnation="c.1")
        self.assertEqual(self.node.last_index, 2)
        self.join(*self.join(incarnation="c.2"), incarnation="c.2")
        self.assertEqual(self.node.last_index, 2)
        self.ack("b", 2)
        self.assertEqual(self.node.last_index, 3)
        self.assertEqual(self.newcomer().incarnation, "c.2")


if __name__ == "__main__":
    unittest.main()
