"""Tests of the translation of the platform's calls: odd ones get their answer."""

from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

import msgspec

from redwingslip.jobs import (
    Customer,
    JobsState,
    Plan,
    Pool,
    Queue,
    ReplacePlan,
)
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.platform import answer_call
from redwingslip.scheduling import JobRefusedError, JobService
from redwingslip.submitters._problems import error_answer as submitter_answer
from redwingslip.workers import LeaseSettings, VmLease
from tests.support_odd import DEEP_BODY, ODD_ADDRESSES, ODD_NUMBERS
from tests.support_scheduling import FakeTerm
from tests.support_virtual_time import VirtualTimeTestCase

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
JOB_ID = "5c0e7a21d94b36f8"
JOB = {"spec": "payload", "steps": [{"count": 1, "cpu": 500}]}


class FixedAgent:
    """An agent of a VM that answers probes in one way, or not at all."""

    def __init__(self, vm, is_answering):
        self.vm = vm
        self.lease = VmLease(LeaseSettings(), timedelta(0))
        self.is_answering = is_answering

    async def probe(self, vm, patience):
        """Return whether the VM answers."""
        return self.is_answering


class TestOddCalls(VirtualTimeTestCase):
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

    async def test_a_report_that_would_replace_a_vm_at_work_is_refused(self):
        """Guards against an odd report that is acknowledged as one of a new start."""
        before = self.state.snapshot()
        for is_answering, status in ((True, 400), (None, 503)):
            agent = FixedAgent(self.state.vms["i-1"], is_answering)
            scheduler = SimpleNamespace(agents={"i-1": agent})
            self.service = JobService(term=FakeTerm(self.state), scheduler=scheduler)
            for vm_id in ("i-1", "i-2"):
                path = f"/instances/{vm_id}/heartbeat"
                doc = {**REPORT, "born": 1800}
                answer = await self.call("POST", path, doc)
                self.assertEqual(answer.status, status)
        self.assertEqual(self.state.snapshot(), before)

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


class TestCancelling(VirtualTimeTestCase):
    """Calls of callers whose submission arrives after they have cancelled it."""

    async def asyncSetUp(self):
        self.state = JobsState()
        queue = Queue(name="q", host="h", path_prefix="/q/", pool="p")
        customers = (
            Customer(name="c1", keys=("key-1",)),
            Customer(name="c2", keys=("key-2",)),
        )
        plan = Plan(
            version=1, queues=(queue,), pools=(Pool(name="p"),), customers=customers
        )
        self.state.apply(ReplacePlan(plan=plan))
        self.service = JobService(term=FakeTerm(self.state), scheduler=None)

    async def call(self, method, key, doc=None):
        """Return the status and document of the answer to a caller's call."""
        call = RelayedCall(
            number=1,
            source=CallSource.CALLERS,
            method=method,
            host="h",
            path=f"/q/{JOB_ID}",
            token=key,
            body=msgspec.json.encode(doc),
        )
        answer = await answer_call(self.service, call, own_address="10.0.0.1:80")
        return answer.status, msgspec.json.decode(answer.body)

    async def test_a_refused_job_gets_the_retry_time_of_the_decision(self):
        """Guards against callers that all return while the pool is still full."""
        error = JobRefusedError("full", retry_after=timedelta(seconds=7))
        gate = mock.Mock()
        gate.submission.side_effect = error
        self.service = JobService(term=FakeTerm(self.state), scheduler=None, gate=gate)
        call = RelayedCall(
            number=1,
            source=CallSource.CALLERS,
            method="POST",
            host="h",
            path=f"/q/{JOB_ID}",
            token="key-1",
            body=msgspec.json.encode(JOB),
        )
        answer = await answer_call(self.service, call, own_address="10.0.0.1:80")
        self.assertEqual((answer.status, answer.retry_after_s), (503, 7))
        self.assertNotIn(JOB_ID, self.state.jobs)
        answer = submitter_answer(call, error)
        self.assertEqual((answer.status, answer.retry_after_s), (503, 7))
        self.assertIn(b"not-run", answer.body)

    # UNASKED: a frozen gateway handed in a submission that had been cancelled.
    async def test_a_late_submission_is_shown_as_cancelled(self):
        status, _ = await self.call("DELETE", "key-1")
        self.assertEqual(status, 410)
        status, _ = await self.call("POST", "key-1", JOB)
        self.assertEqual(status, 200)
        answer = await self.call("GET", "key-1")
        self.assertEqual(answer, (200, {"state": "cancelled"}))

    async def test_another_customer_cancels_no_later_submission(self):
        await self.call("DELETE", "key-2")
        await self.call("POST", "key-1", JOB)
        answer = await self.call("GET", "key-1")
        self.assertEqual(answer, (200, {"state": "queued"}))
