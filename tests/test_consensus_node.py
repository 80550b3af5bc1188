"""Tests of `RaftNode` with hand-made messages."""

from datetime import timedelta

from redwingslip.consensus import (
    AppendReply,
    EntryKind,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from tests.support_consensus import (
    MAX_TIMEOUT,
    MEMBERS,
    MIN_TIMEOUT,
    NodeTestCase,
    entry,
)


class TestSync(NodeTestCase):
    """Nothing is acknowledged before it is on disk."""

    def test_entries_are_acknowledged_after_the_sync(self):
        """An acknowledgement waits until the entries are on disk."""
        self.make_node(term=1)
        self.append(1, [entry(1, 1)])
        ready = self.node.take_ready(self.now)
        self.assertEqual(self.messages_of_type(ready.messages, AppendReply), [])
        self.assertEqual(ready.save.entries, (entry(1, 1),))
        self.node.mark_saved(self.now)
        (reply,) = self.messages_of_type(self.finish_saves(), AppendReply)
        self.assertEqual(reply.match_index, 1)

    def test_entries_that_come_during_a_sync_wait_for_the_next(self):
        """A sync that began before an entry came does not cover it."""
        self.make_node()
        self.append(1, [entry(1, 1)])
        self.node.take_ready(self.now)
        self.append(1, [entry(2, 1)], prev=(1, 1))
        self.node.mark_saved(self.now)
        replies = self.messages_of_type(
            self.node.take_ready(self.now).messages, AppendReply
        )
        self.assertEqual([reply.match_index for reply in replies], [1])

    def test_vote_is_given_after_the_sync(self):
        """A vote waits until it is on disk."""
        self.make_node()
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 1)
        ready = self.node.take_ready(self.now)
        self.assertEqual(self.messages_of_type(ready.messages, VoteReply), [])
        self.assertEqual(ready.save.hard_state.voted_for, ("b", "b.0"))
        self.node.mark_saved(self.now)
        (reply,) = self.messages_of_type(self.finish_saves(), VoteReply)
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
        replies = self.messages_of_type(self.finish_saves(), AppendReply)
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
        return [
            r.granted for r in self.messages_of_type(self.finish_saves(), VoteReply)
        ]

    def test_one_vote_in_a_term(self):
        """The second candidate of a term gets no vote."""
        self.make_node()
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 1)
        self.vote_request("c", 1)
        self.assertEqual(self.votes(), [True, False])

    def test_new_incarnation_is_another_candidate(self):
        """A vote for the incarnation before is no vote for the one after."""
        self.make_node()
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 1)
        request = VoteRequest(
            term=1, incarnation="b.1", last_index=99, last_term=0, pre=False
        )
        self.receive("b", request)
        self.assertEqual(self.votes(), [True, False])

    def test_shorter_log_gets_no_vote(self):
        """A candidate that lacks entries gets no vote."""
        self.make_node([entry(1, 1), entry(2, 1)], term=1)
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 2, last_index=1, last_term=1)
        self.assertEqual(self.votes(), [False])

    def test_no_vote_while_a_leader_is_heard(self):
        """Who heard a leader gives no vote within the minimum election timeout."""
        self.make_node()
        self.pass_time(MAX_TIMEOUT)
        self.append(1)
        self.finish_saves()
        self.now += MIN_TIMEOUT * 0.9
        self.vote_request("c", 2)
        self.assertEqual(self.votes(), [])
        self.assertEqual(self.node.term, 1)
        self.now += MIN_TIMEOUT * 0.1
        self.vote_request("c", 2)
        self.assertEqual(self.votes(), [True])

    def test_no_vote_just_after_a_restart(self):
        """A restarted member may have heard a leader, so it gives no vote at first."""
        self.make_node()
        self.now += MIN_TIMEOUT * 0.9
        self.vote_request("c", 1)
        self.assertEqual(self.votes(), [])

    def test_vote_of_another_incarnation_is_void(self):
        """A vote counts only from the incarnation that is the member."""
        self.make_node()
        while self.node.role == "follower":
            self.pass_time(timedelta(milliseconds=50))
        self.vote("b", 1, pre=True)
        self.finish_saves()
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
