"""Tests of the requests for advice, over HTTP against a stand-in."""

from datetime import timedelta

from starlette.responses import Response

from redwingslip.platform import AdviceClient
from redwingslip.scheduling import (
    OrderOutcomeUnknownError,
)
from tests.support_odd import DEEP_LIST, N_LEVELS
from tests.support_remote import RemoteTestCase


class TestAdviceClient(RemoteTestCase):
    """Requests for the workers that may run a step."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = AdviceClient(self.server.address)

    async def test_suitable_workers_have_tickets(self):
        self.reply({"good": [["v1", "c81e"]], "validityMs": 3000})
        advice = await self.client.request_advice(
            ("5c0e7a21d94b36f8", 0, 1), ("v1", "v2")
        )
        self.assertEqual(advice.tickets, {"v1": "c81e"})
        self.assertEqual(advice.validity, timedelta(seconds=3))
        body = {"step": "5c0e7a21d94b36f8.0.1", "workers": ["v1", "v2"]}
        self.assertEqual(self.remote.body, body)

    async def test_a_busy_service_gives_no_advice(self):
        self.reply({}, 429)
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_an_odd_answer_gives_no_advice(self):
        """Guards against requests for advice that end by one answer."""
        for odd in (
            {"good": [], "validityMs": 10**30},
            {"good": [], "validityMs": -1},
            {"good": None},
            {"good": "v1"},
        ):
            self.reply(odd)
            with self.subTest(odd=odd), self.assertRaises(OrderOutcomeUnknownError):
                await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_an_answer_nested_too_deeply_gives_no_advice(self):
        """Guards against requests for advice that end by one answer."""
        body = b'{"good":' + b"[" * N_LEVELS
        self.remote.answer = Response(body, media_type="application/json")
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_odd_rows_leave_the_others(self):
        """Guards against a step that never runs for one row of another writer."""
        rows = (b"5", b"null", b'["v1"]', b'["v1",5]', b'["v1","\xff"]', DEEP_LIST)
        for row in rows:
            body = b'{"good":[' + row + b',["v2","c8"]],"validityMs":5}'
            self.remote.answer = Response(body, media_type="application/json")
            with self.subTest(row=row[:9]):
                advice = await self.client.request_advice(("j", 0, 1), ("v1", "v2"))
                self.assertEqual(advice.tickets, {"v2": "c8"})
