"""Tests of the stand-in endpoint and platform through the clients of entries."""

import asyncio
import unittest
from datetime import timedelta

import msgspec

from redwingslip.callers import hash_secret
from redwingslip.endpoints import (
    EndpointClient,
    EndpointOutcomeUnknownError,
    EndpointRefusedError,
)
from redwingslip.http import ClientLimits
from redwingslip.reboots import (
    PlatformClient,
    PlatformRefusedError,
    PlatformSettings,
    VmPower,
)
from redwingslip.standins import Mode, PlatformStandin
from tests.support_endpoints import (
    CLOCK,
    SECOND,
    FakeAnnouncementHandler,
    make_call,
    make_endpoint,
)
from tests.support_http import LONG, HttpTestCase, eventually

SHORT = timedelta(milliseconds=200)


def make_body(**fields):
    """Return a body that describes a run."""
    return msgspec.json.encode(fields)


class StandinTestCase(HttpTestCase):
    """Runs a stand-in endpoint and a client."""

    async def asyncSetUp(self):
        """Start the endpoint and the receiver of its announcements."""
        await super().asyncSetUp()
        self.client = EndpointClient(ClientLimits())
        self.addAsyncCleanup(self.client.close)
        self.fake = FakeAnnouncementHandler()
        await self.serve(self.fake.routes([hash_secret("t")]))
        self.endpoint, self.recorder = make_endpoint(
            entries=("127.0.0.1:1", self.address), slots=2
        )
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.kill)

    async def call(self, number=1, **changes):
        """Call the endpoint under permit `number`."""
        changes.setdefault("incarnation", self.endpoint.incarnation)
        changes.setdefault("fencing_token", 7)
        call = make_call(
            self.endpoint.address,
            permit_id=f"p{number}",
            request_id=f"r{number}",
            **changes,
        )
        return await self.client.call(call)

    def events(self):
        """Return the events recorded so far."""
        return [record.event for record in self.recorder.records]

    async def wait_for_running(self, n_running):
        """Wait until this many calls are running."""
        await eventually(lambda: len(self.endpoint.running) == n_running)


class TestRun(StandinTestCase):
    """Runs of calls with permits."""

    async def test_run_is_recorded_with_its_permit(self):
        """Start and end of a run are recorded, and the answer is that of the call."""
        answer = await self.call(body=b"my body")
        answer_fields = msgspec.json.decode(answer.body)
        self.assertEqual(
            (answer_fields["permit_id"], answer_fields["echo"]), ("p1", "my body")
        )
        self.assertEqual(self.events(), ["start", "end"])
        record = self.recorder.records[0]
        self.assertEqual((record.permit_id, record.request_id), ("p1", "r1"))
        self.assertEqual((record.team, record.endpoint_id), ("smiths", "e1"))

    async def test_permits_that_are_not_valid_do_not_run(self):
        """A call with an old token, another incarnation or a late start is refused."""
        await self.call()
        cases = (
            {"fencing_token": 6},
            {"incarnation": "other"},
            {"start_by": CLOCK.monotonic() - SECOND},
        )
        for changes in cases:
            with self.subTest(changes), self.assertRaises(EndpointRefusedError):
                await self.call(2, **changes)
        self.assertEqual(self.events(), ["start", "end"])

    async def test_slots_are_limited(self):
        """A call is refused when every slot is taken or its permit is in use."""
        first = asyncio.create_task(self.call(1, body=make_body(sleep_s=3600)))
        await self.wait_for_running(1)
        with self.assertRaises(EndpointRefusedError):
            await self.call(1)
        second = asyncio.create_task(self.call(2, body=make_body(sleep_s=3600)))
        await self.wait_for_running(2)
        with self.assertRaises(EndpointRefusedError):
            await self.call(3)
        first.cancel()
        second.cancel()

    async def test_lease_ends_the_run(self):
        """A run that is longer than its lease is ended, and the answer is an error."""
        answer = await self.call(body=make_body(sleep_s=3600), lease=SHORT)
        self.assertEqual(answer.status, 500)
        self.assertEqual(self.events(), ["start", "lease-expired"])

    async def test_modes(self):
        """Each mode fails in its own way, and the run is recorded."""
        answer = await self.call(body=make_body(mode=Mode.FAIL))
        self.assertEqual(answer.status, 500)
        for mode in (Mode.LOSE, Mode.CUT, Mode.SILENT, Mode.LATE):
            with (
                self.subTest(mode=mode),
                self.assertRaises(EndpointOutcomeUnknownError),
            ):
                await self.call(body=make_body(mode=mode, late_s=9), timeout=2 * SHORT)
        self.assertEqual(self.events(), ["start", "failed"] + 4 * ["start", "end"])
        answer = await self.call(2, body=b"mine")
        self.assertEqual(msgspec.json.decode(answer.body)["echo"], "mine")


class TestLifecycle(StandinTestCase):
    """Announcements, stops and reboots of an endpoint."""

    async def wait_for_report(self, predicate):
        """Wait for a report for which `predicate` holds."""
        matched = asyncio.Event()

        def check(report):
            if predicate(report):
                matched.set()

        self.fake.on_report = check
        for report in self.fake.reports:
            check(report)
        await asyncio.wait_for(matched.wait(), LONG.total_seconds())

    async def test_announces_to_the_next_entry_and_checks_the_token(self):
        """With one entry down it announces to the next, and adopts its token."""
        await self.wait_for_report(lambda report: report.fencing_token == 7)
        with self.assertRaises(EndpointRefusedError):
            await self.call(fencing_token=6)

    async def test_stop_finishes_running_calls(self):
        """A stop announces leaving, finishes the run and answers the call."""
        task = asyncio.create_task(self.call(body=make_body(sleep_s=0.5)))
        await self.wait_for_running(1)
        stop = asyncio.create_task(self.endpoint.stop())
        await self.wait_for_report(lambda report: report.leaving and report.running)
        self.assertEqual((await task).status, 200)
        await stop
        self.assertEqual(self.events(), ["start", "end"])

    async def test_platform_reboots_once_for_an_operation(self):
        """A reboot aborts the running call and changes the incarnation, only once."""
        platform = PlatformStandin({"v1": [self.endpoint]}, reboot_time=SHORT)
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        client = PlatformClient(PlatformSettings(address=platform.address))
        self.addAsyncCleanup(client.close)
        old = self.endpoint.incarnation
        task = asyncio.create_task(self.call(body=make_body(sleep_s=3600)))
        await self.wait_for_running(1)
        states = [await client.reboot("v1", "o1") for _ in range(2)]
        self.assertEqual({state.state for state in states}, {VmPower.REBOOTING})
        with self.assertRaises(EndpointOutcomeUnknownError):
            await task
        await eventually(lambda: platform.n_reboots)
        self.assertEqual((await client.get("v1")).state, VmPower.RUNNING)
        self.assertEqual((await client.reboot("v1", "o1")).state, VmPower.RUNNING)
        self.assertEqual(platform.n_reboots, 1)
        self.assertNotEqual(self.endpoint.incarnation, old)
        self.assertEqual(self.events(), ["start", "killed"])
        with self.assertRaises(EndpointRefusedError):
            await self.call(incarnation=old)
        self.assertEqual((await self.call()).status, 200)
        with self.assertRaises(PlatformRefusedError):
            await client.reboot("v2", "o2")


if __name__ == "__main__":
    unittest.main()
