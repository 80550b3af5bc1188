"""Tests of the translation of the platform's calls: odd ones get their answer."""

import unittest

import msgspec

from redwingslip.jobs import JobsState
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.platform import answer_call
from redwingslip.scheduling import JobService
from tests.support_odd import DEEP_BODY, ODD_ADDRESSES, ODD_NUMBERS
from tests.support_scheduling import FakeTerm

REPORT = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000},
    "sequence": 4,
    "machine": "m-1",
    "born": 1700,
}


class TestOddCalls(unittest.IsolatedAsyncioTestCase):
    """Calls of another writer, which must neither fail nor change anything."""

    async def asyncSetUp(self):
        self.state = JobsState()
        term = FakeTerm(self.state)
        self.service = JobService(term=term, scheduler=None)
        answer = await self.call("POST", "/instances/i-1/heartbeat", REPORT)
        self.assertEqual(answer.status, 200)

    async def call(self, method, path, doc=None):
        """Return the answer to a call; an error of the service is raised."""
        body = doc if isinstance(doc, bytes) else msgspec.json.encode(doc)
        call = RelayedCall(
            number=1, source=CallSource.CONTROL, method=method, path=path, body=body
        )
        return await answer_call(self.service, call, own_address="10.0.0.1:80")

    async def test_odd_reports_are_refused_and_the_known_vm_holds(self):
        """Guards against one odd report that replaces or removes a true VM."""
        before = self.state.snapshot()
        odd = [DEEP_BODY, b"\xff", b"[]", {**REPORT, "born": 2**53 - 1}]
        odd += ({**REPORT, "address": address} for address in ODD_ADDRESSES)
        for name in ("born", "sequence"):
            odd += ({**REPORT, name: number} for number in ODD_NUMBERS)
        for doc in odd:
            for vm_id in ("i-1", "i-2"):
                path = f"/instances/{vm_id}/heartbeat"
                answer = await self.call("POST", path, doc)
                self.assertEqual(answer.status, 400, doc)
        self.assertEqual(self.state.snapshot(), before)
        true_report = {**REPORT, "sequence": 5, "state": "draining"}
        await self.call("POST", "/instances/i-1/heartbeat", true_report)
        self.assertTrue(self.state.vms["i-1"].is_draining)

    async def test_a_start_in_the_future_is_named(self):
        doc = {**REPORT, "born": 2**53 - 1}
        answer = await self.call("POST", "/instances/i-1/heartbeat", doc)
        self.assertIn(b"born: ", answer.body)

    async def test_a_service_that_is_not_known_is_named(self):
        service = {"name": "s1", "standby": False}
        config = {"version": 1, "routes": [], "services": [service]}
        answer = await self.call("POST", "/config/replace", config)
        self.assertEqual(answer.status, 200)
        doc = {**REPORT, "service": "nowhere"}
        answer = await self.call("POST", "/instances/i-1/heartbeat", doc)
        self.assertEqual(answer.status, 400)
        self.assertIn(b"service: ", answer.body)

    async def test_the_number_of_no_wave(self):
        """Guards against a server error by a number with very many digits."""
        for number in ("7", "9" * 17, "9" * 5000, "-1", "x"):
            answer = await self.call("GET", f"/wave-get/{number}")
            self.assertEqual(answer.status, 404)

    async def test_odd_deregistrations_remove_nothing(self):
        for doc in (DEEP_BODY, b"\xff", *({"born": odd} for odd in ODD_NUMBERS)):
            answer = await self.call("POST", "/instances/i-1/deregister", doc)
            self.assertEqual(answer.status, 400, doc)
        self.assertIn("i-1", self.state.vms)
