"""Tests of the term of a leader whose replica may lead again in a later one."""

import unittest

from redwingslip.clock import ManualClock
from redwingslip.consensus import NotLeaderError, ProposalOutcomeUnknownError
from redwingslip.jobs import ForgetJobs, JobsState
from redwingslip.observe import EventName
from redwingslip.scheduling import CommandOutcomeUnknownError, NotLeadingError, Term
from tests.support_scheduling import METRICS
from tests.support_virtual_time import VirtualTimeTestCase

COMMAND = ForgetJobs(job_ids=())


class FakeReplica:
    """A replica that leads, and commits all that is proposed."""

    def __init__(self):
        self.term = 3
        self.has_lease = True
        self.error = None
        self.proposed = []

    def has_quorum_lease(self):
        """Return `has_lease`."""
        return self.has_lease

    async def propose(self, data):
        """Record a proposal, or raise `error`."""
        if self.error is not None:
            raise self.error
        self.proposed.append(data)


class EventList:
    """Keeps the events."""

    def __init__(self):
        self.events = []

    def emit(self, event):
        """Keep an event."""
        self.events.append(event)


class TestTerm(VirtualTimeTestCase):
    """Proposals and leadership within a term and after it."""

    def setUp(self):
        self.replica = FakeReplica()
        self.log = EventList()
        self.term = Term(
            replica=self.replica,
            state=JobsState(),
            clock=ManualClock(),
            events=self.log,
            metrics=METRICS,
        )

    async def test_nothing_is_proposed_in_a_later_term(self):
        """Guards against commands that were decided on by an earlier term's view."""
        await self.term.propose(COMMAND)
        self.assertTrue(self.term.is_leading())
        self.replica.term = 5
        self.assertFalse(self.term.is_leading())
        with self.assertRaises(NotLeadingError):
            await self.term.propose(COMMAND)
        self.assertIsNone(await self.term.propose_or_log(COMMAND))
        self.assertEqual(len(self.replica.proposed), 1)
        self.assertEqual(self.log.events[-1].name, EventName.WARNING)

    async def test_errors_of_the_log(self):
        for error, expected in (
            (NotLeaderError(""), NotLeadingError),
            (ProposalOutcomeUnknownError(""), CommandOutcomeUnknownError),
        ):
            self.replica.error = error
            with self.subTest(error=error), self.assertRaises(expected):
                await self.term.propose(COMMAND)

    async def test_without_the_lease_the_term_does_not_lead(self):
        self.replica.has_lease = False
        self.assertFalse(self.term.is_leading())


if __name__ == "__main__":
    unittest.main()
