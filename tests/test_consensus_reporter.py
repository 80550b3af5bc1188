"""Tests of the events about leadership and members."""

import unittest
from types import SimpleNamespace

from redwingslip.consensus._reporter import Reporter
from redwingslip.observe._events import EventName


class TestReporter(unittest.TestCase):
    """Which changes are reported, and when."""

    def setUp(self):
        """Create a reporter and a node whose leadership starts at entry 5."""
        self.events = []
        self.calls = []
        sink = SimpleNamespace(emit=lambda event: self.events.append(event.name))
        self.reporter = Reporter("a", sink)
        self.reporter.on_leadership = self.calls.append
        self.repaired = set()
        member = SimpleNamespace(replica_id="b", incarnation="b.1")
        self.node = SimpleNamespace(
            is_leader=True,
            term=3,
            first_index_of_term=5,
            members=(member,),
            is_repaired=lambda *key: key in self.repaired,
        )

    def test_leadership_begins_when_the_state_is_current(self):
        """The callback waits until the first entry of the term is applied."""
        self.reporter.report_leadership(self.node, 4)
        self.assertEqual(self.calls, [])
        self.reporter.report_leadership(self.node, 5)
        self.reporter.report_leadership(self.node, 6)
        self.assertEqual(self.calls, [True])

    def test_next_term_is_another_leadership(self):
        """Leadership that was lost and won again between two reports has ended."""
        self.reporter.report_leadership(self.node, 5)
        self.assertFalse(self.reporter.has_leadership_ended(self.node))
        self.node.term = 5
        self.assertTrue(self.reporter.has_leadership_ended(self.node))
        self.reporter.report_leadership_end()
        self.assertEqual(self.calls, [True, False])

    def test_repair_of_all_members_is_reported_once(self):
        """After a change of members, one event reports that all are repaired."""
        self.reporter.report_leadership(self.node, 5)
        self.reporter.report_member_change(6)
        self.reporter.report_leadership(self.node, 6)
        self.assertEqual(self.events.count(EventName.MEMBER_CHANGED), 1)
        self.repaired.add(("b", "b.1"))
        self.reporter.report_leadership(self.node, 6)
        self.reporter.report_leadership(self.node, 6)
        self.assertEqual(self.events.count(EventName.MEMBER_CHANGED), 2)


if __name__ == "__main__":
    unittest.main()
