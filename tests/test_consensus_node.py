"""Tests of a single `RaftNode` with messages built by the test."""

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

    def test_entries_received_during_a_sync_wait_for_the_next_one(self):
        """A sync that began before an entry was received does not cover it."""
        self.make_node()
        self.append(1, [entry(1, 1)])
        self.node.take_ready(self.now)
        self.append(1, [entry(2, 1)], prev=(1, 1))
        self.node.mark_saved(self.now)
        replies = self.messages_of_type(
            self.node.take_ready(self.now).messages, AppendReply
        )
        self.assertEqual([reply.match_index for reply in replies], [1])

    def test_vote_is_sent_after_the_sync(self):
        """A vote is sent only once it is on disk."""
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
        """One follower of two does not commit an entry before the leader's own sync."""
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
        """Entries that a new leader replaced during the sync are not acknowledged."""
        self.make_node()
        self.append(1, [entry(1, 1), entry(2, 1)])
        self.node.take_ready(self.now)
        self.append(2, [entry(1, 2), entry(2, 2)])
        self.node.mark_saved(self.now)
        replies = self.messages_of_type(self.finish_saves(), AppendReply)
        self.assertEqual([(r.term, r.match_index) for r in replies], [(2, 2)])

    def test_only_synced_entries_are_applied(self):
        """A follower applies a committed entry only once its own disk holds it."""
        self.make_node()
        self.append(1, [entry(1, 1)], commit=1)
        self.assertEqual(self.node.take_ready(self.now).committed, ())
        self.node.mark_saved(self.now)
        self.assertEqual(self.node.take_ready(self.now).committed, (entry(1, 1),))


class TestVotes(NodeTestCase):
    """Granting and counting votes."""

    def votes(self):
        """Return whether each vote request since the last call was granted."""
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
        """A vote for one incarnation of a candidate does not count for the next one."""
        self.make_node()
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 1)
        request = VoteRequest(
            term=1, incarnation="b.1", last_index=99, last_term=0, pre=False
        )
        self.receive("b", request)
        self.assertEqual(self.votes(), [True, False])

    def test_shorter_log_gets_no_vote(self):
        """A candidate with a less complete log gets no vote."""
        self.make_node([entry(1, 1), entry(2, 1)], term=1)
        self.pass_time(MIN_TIMEOUT)
        self.vote_request("b", 2, last_index=1, last_term=1)
        self.assertEqual(self.votes(), [False])

    def test_no_vote_after_recent_leader_contact(self):
        """Leader contact rules out votes for the minimum election timeout."""
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
        """A restarted member may have had leader contact just before the restart."""
        self.make_node()
        self.now += MIN_TIMEOUT * 0.9
        self.vote_request("c", 1)
        self.assertEqual(self.votes(), [])

    def test_vote_of_another_incarnation_is_ignored(self):
        """Only votes of the member's current incarnation count."""
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
    """Copying the leader's log."""

    def test_commits_only_what_the_leader_confirmed(self):
        """Entries after the last matching one may conflict and are not committed."""
        self.make_node([entry(1, 1), entry(2, 1)], term=1)
        self.append(2, prev=(1, 1), commit=2)
        self.assertEqual(self.node.commit_index, 1)

    def test_truncating_the_log_restores_the_members(self):
        """A member change that is truncated from the log is no longer in effect."""
        data = b"\x90"  # no members
        self.make_node()
        self.append(1, [LogEntry(1, 1, EntryKind.MEMBERSHIP, data)])
        self.assertEqual(self.node.members, ())
        self.append(2, [entry(1, 2)])
        self.assertEqual(self.node.members, MEMBERS)
