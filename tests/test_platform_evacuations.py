"""Tests of the platform's calls that start and finish evacuations."""

import unittest

import msgspec

from redwingslip.peers import CallSource, RelayedCall
from redwingslip.platform import answer_call
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    EvacuationCalls,
    EvacuationSettings,
    JobService,
    NotLeadingError,
)
from tests.support_scheduling import FakeTerm, make_state


class TestEvacuations(unittest.IsolatedAsyncioTestCase):
    """Answers that end or repeat the operator's call."""

    def setUp(self):
        self.state = make_state()
        self.term = FakeTerm(self.state)
        cfg = EvacuationSettings(data_centres=("east", "west 2"))
        self.service = JobService(term=self.term, scheduler=self)
        self.evacuations = EvacuationCalls(term=self.term, cfg=cfg)

    async def call(self, path, method="POST"):
        """Return the status and the body of the answer to a call."""
        call = RelayedCall(
            number=1, source=CallSource.CONTROL, method=method, path=path
        )
        answer = await answer_call(self.service, call, own_address="10.0.0.1:80")
        return answer.status, msgspec.json.decode(answer.body)

    async def test_start_and_finish(self):
        """Guards against calls whose path is not known, or whose repeat is refused."""
        for name in ("east", "west 2"):
            for _ in range(2):
                status, _ = await self.call(f"/evacuations/{name}/start")
                self.assertEqual(status, 200)
            self.assertTrue(self.state.evacuations.includes(name))
            for _ in range(2):
                status, _ = await self.call(f"/evacuations/{name}/finish")
                self.assertEqual(status, 200)
            self.assertFalse(self.state.evacuations.includes(name))

    async def test_an_unknown_data_centre_is_named(self):
        """Guards against a 400, which would end the operator's call at once."""
        status, body = await self.call("/evacuations/eest/start")
        self.assertEqual(status, 404)
        self.assertIn("eest", body["error"])

    async def test_other_paths_and_methods_change_nothing(self):
        for method, path in (
            ("GET", "/evacuations/east/start"),
            ("POST", "/evacuations/east/stop"),
            ("POST", "/evacuations//start"),
        ):
            status, _ = await self.call(path, method)
            self.assertEqual(status, 404)
        self.assertEqual(self.state.evacuations.started, {})

    async def test_a_lost_leader_is_answered_so_that_the_operator_retries(self):
        """Guards against a 2xx, or a final 4xx, without a commit."""
        for error, expected in (
            (NotLeadingError, 503),
            (CommandOutcomeUnknownError, 504),
        ):

            async def propose(command, error=error):
                raise error("the term has ended")

            self.term.propose = propose
            status, _ = await self.call("/evacuations/east/start")
            self.assertEqual(status, expected)
