"""Tests of announcements, over real sockets."""

import unittest
from datetime import timedelta

from redwingslip.callers import hash_secret
from redwingslip.endpoints import AnnouncementError
from redwingslip.peers import RunningTask
from tests.support_endpoints import FakeAnnouncementHandler
from tests.support_http import HttpTestCase, json_of
from tests.support_odd import ODD_ADDRESSES

ANNOUNCEMENT = {
    "incarnation": "i1",
    "service": "photos",
    "address": "10.0.0.1:80",
    "vm": "vm1",
    "slots": 8,
    "state": "serving",
    "clock_s": 12.5,
    "fencing_token": 3,
    "running": [{"permit_id": "p1", "team": "smiths"}],
}


class TestAnnouncement(HttpTestCase):
    """Tests of PUT /v1/endpoints/{id}."""

    async def asyncSetUp(self):
        """Serve the route."""
        await super().asyncSetUp()
        self.fake = FakeAnnouncementHandler()
        await self.serve(self.fake.routes([hash_secret("t")]))

    async def put(self, token="t", **changes):
        """Send an announcement with `changes`; None removes a field."""
        body = {**ANNOUNCEMENT, **changes}
        body = {name: value for name, value in body.items() if value is not None}
        headers = {"Authorization": f"Bearer {token}"}
        return await self.send("PUT", "/v1/endpoints/e1", headers=headers, body=body)

    async def test_announcement_is_accepted(self):
        """All fields reach the handler, and its reply is the answer."""
        answer = await self.put()
        self.assertEqual(answer.status, 200)
        reply = {"fencing_token": 7, "announce_within_s": 1.0}
        self.assertEqual(json_of(answer), reply)
        (report,) = self.fake.reports
        self.assertEqual(report.endpoint_id, "e1")
        self.assertEqual(report.clock, timedelta(seconds=12.5))
        self.assertEqual((report.slots, report.fencing_token), (8, 3))
        self.assertEqual(report.running, (RunningTask("p1", "smiths"),))
        self.assertFalse(report.leaving)
        await self.put(state="leaving")
        self.assertTrue(self.fake.reports[-1].leaving)

    async def test_bad_field_is_named(self):
        """The answer names a missing, malformed or unknown field."""
        cases = (
            ({"slots": -1}, "slots"),
            ({"slots": "8"}, "slots"),
            ({"state": "gone"}, "state"),
            ({"address": "host:80"}, "address"),
            *(({"address": odd}, "address") for odd in ODD_ADDRESSES),
            ({"fencing_token": 2**64}, "fencing_token"),
            ({"clock_s": -1.0}, "clock_s"),
            ({"running": [{"permit_id": ""}]}, "running[0].permit_id"),
            ({"slot": 8}, "slot"),
        )
        for changes, field in cases:
            with self.subTest(changes=changes):
                answer = await self.put(**changes)
                self.assertEqual(answer.status, 400)
                self.assertEqual(json_of(answer)["field"], field)
        missing = await self.put(vm=None)
        self.assertIn("`vm`", json_of(missing)["detail"])
        self.assertEqual(self.fake.reports, [])

    async def test_only_with_the_endpoints_token(self):
        """An announcement with a wrong token is refused."""
        answer = await self.put(token="x")
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.fake.reports, [])

    async def test_announcement_that_is_not_accepted(self):
        """The answer to an announcement that can't be accepted asks for a retry."""
        self.fake.error = AnnouncementError("VM vm1 is not declared")
        answer = await self.put()
        self.assertEqual(answer.status, 503)
        self.assertIn("vm1", json_of(answer)["detail"])
        self.assertIn("retry-after", answer.headers)


if __name__ == "__main__":
    unittest.main()
