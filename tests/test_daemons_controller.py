"""Tests of which calls a controller takes."""

import tempfile
from pathlib import Path
from unittest import mock

from redwingslip.peers import CallSource, LeaderQuery, LeaderReport, RelayedCall
from tests.support_fleet import Fleet
from tests.support_virtual_time import VirtualTimeTestCase

GATEWAY = "127.0.0.14:7000"


class TestTerms(VirtualTimeTestCase):
    """A controller that leads in term 7."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.app = Fleet(Path(folder.name), 7_000)._controller(11)
        self.sent = []
        self.app._core = mock.Mock()
        self.app._core.send = lambda to, msg: self.sent.append((to, msg))
        self.app._term = 7
        self.app._service = object()
        self.app.replica = mock.Mock(leader_id="127.0.0.11:7000", members=())
        self.app._spawn = mock.Mock(side_effect=lambda work: work.close())

    def call(self, term):
        """Pass a call for the leader of a term; return whether it is taken."""
        call = RelayedCall(
            number=5, source=CallSource.CALLERS, method="POST", path="/q/1", term=term
        )
        self.app._on_message(GATEWAY, call)
        answers = [msg for _, msg in self.sent]
        self.sent.clear()
        return not any(msg.number == 5 and not msg.is_taken for msg in answers)

    # REFUSED: a call that waited while its leader was frozen must not be carried out
    # in a later term, after a later attempt was refused for good.
    async def test_a_call_for_another_term_is_not_taken(self):
        self.assertFalse(self.call(6))
        self.assertFalse(self.call(8))
        self.app._spawn.assert_not_called()
        self.assertTrue(self.call(7))
        # From a process of an earlier version.
        self.assertTrue(self.call(0))
        self.assertEqual(self.app._spawn.call_count, 2)

    async def test_a_leader_reports_its_term(self):
        for has_lease, term in ((True, 7), (False, 0)):
            self.app.replica.has_quorum_lease.return_value = has_lease
            self.app._on_message(GATEWAY, LeaderQuery())
            ((receiver, report),) = self.sent
            self.sent.clear()
            self.assertEqual(receiver, GATEWAY)
            self.assertIsInstance(report, LeaderReport)
            self.assertEqual((report.has_lease, report.term), (has_lease, term))
