"""Tests that clients can't make a daemon use more memory than it may.

The daemons run as processes of their own with limits lowered in their settings. A test
checks that the process lives, that its peak resident memory and its descriptors are
below fixed bounds, and that an ordinary request is answered. It checks no times.
"""

import asyncio
import json
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

from tests.support_fleet import plan
from tests.support_memory import KEY, Crowd, Daemons, ask, head

# An idle process uses 45 to 55 MB; bodies may use 16 MiB, and each copy as much again.
MAX_RESIDENT_BYTES = 120_000_000
# A body is decoded by the leader, whose machine has at least 296 MB.
MAX_DECODING_BYTES = 200_000_000
# 100 connections are allowed.
MAX_DESCRIPTORS = 128
N_CLIENTS = 40
N_IDLE_CLIENTS = 150
# Each body is within the limit of 4 MiB.
BODY_BYTES = 4_000_000
MAX_BODY_BYTES = 4 << 20
JOB_PATH = "/keyed/000000000000000a"
JOB = b'{"steps":[{"count":1,"cpu":500,"memMb":100}]}'
CHUNKED = "Transfer-Encoding: chunked"
RETRY_S = 0.3
SETTLE_S = 1.0
N_RETRIES = 60


class MemoryCase(unittest.IsolatedAsyncioTestCase):
    """Daemons, and the checks after a crowd has sent."""

    roles = ("gateway",)
    extra_settings: ClassVar[dict[str, str]] = {}

    async def asyncSetUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-memory-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.daemons = Daemons(self.folder, self.extra_settings)
        self.addCleanup(self.daemons.close)
        for role in self.roles:
            self.daemons.start(role)
        for role in self.roles:
            await self.daemons.wait_answering(getattr(self.daemons, role))

    def crowd_of(self, role):
        """Return a crowd that is closed at the end of the test."""
        return self.crowd_at(getattr(self.daemons, role))

    def crowd_at(self, address):
        """Return a crowd at an address that is closed at the end of the test."""
        crowd = Crowd(address)
        self.addAsyncCleanup(crowd.close)
        return crowd

    async def check_bounds(
        self, status_of_request, *, max_resident_bytes=MAX_RESIDENT_BYTES
    ):
        """Check each process, and that the ordinary request has any answer."""
        status = await status_of_request
        await self.wait_settled()
        figures = []
        problems = []
        for role in self.roles:
            process = self.daemons.processes[role]
            if process.poll() is not None:
                self.fail(f"{role} ended: {self.daemons.output(role)}")
            n_bytes = self.daemons.peak_bytes(role)
            n_descriptors = self.daemons.n_descriptors(role)
            figures.append(f"{role}: {n_bytes / 1e6:.1f} MB, {n_descriptors} fds")
            if n_bytes > max_resident_bytes:
                problems.append(f"{role} has used {n_bytes / 1e6:.1f} MB")
            if n_descriptors > MAX_DESCRIPTORS:
                problems.append(f"{role} has {n_descriptors} descriptors")
        if not status:
            problems.append("the ordinary request has no answer")
        print(f"\n{self.id()}: {'; '.join(figures)}; status {status}")
        self.assertEqual(problems, [])

    async def wait_settled(self):
        """Wait until no peak has changed for a while: the crowd has been handled."""
        before = None
        while (peaks := [self.daemons.peak_bytes(role) for role in self.roles]) != (
            before
        ):
            before = peaks
            await asyncio.sleep(SETTLE_S)

    async def call(self, role, method, path, body=b""):
        """Send one ordinary request and return its status, 0 for no answer."""
        address = getattr(self.daemons, role)
        return (await ask(address, method, path, body, key=KEY))[0]

    async def wait_status(self, role, method, path, body):
        """Repeat a call until it succeeds; return the last status."""
        for _ in range(N_RETRIES):
            status = await self.call(role, method, path, body)
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        return status


class TestGatewayWithoutLeader(MemoryCase):
    """A gateway that knows no leader, so that each call waits and is refused."""

    async def check_gateway(self):
        """Check the gateway with the request of an ordinary caller."""
        await self.check_bounds(self.call("gateway", "POST", JOB_PATH, JOB))

    async def test_announced_bodies_that_stop_short(self):
        """Guards against bodies that are kept while their rest never comes."""
        start = head("POST", JOB_PATH, f"Content-Length: {BODY_BYTES}")
        await self.crowd_of("gateway").send(N_CLIENTS, start, BODY_BYTES - 1000)
        await self.check_gateway()

    async def test_complete_bodies_while_no_leader_is_known(self):
        """Guards against bodies that are kept while their calls wait."""
        start = head("POST", JOB_PATH, CHUNKED)
        await self.crowd_of("gateway").send(
            N_CLIENTS, start, BODY_BYTES, is_chunked=True
        )
        await self.check_gateway()

    async def test_announced_bodies_far_over_the_limit(self):
        """Guards against bodies that are kept although they are refused."""
        start = head("POST", JOB_PATH, f"Content-Length: {10 * BODY_BYTES}")
        await self.crowd_of("gateway").send(N_CLIENTS, start, 2 * BODY_BYTES)
        await self.check_gateway()

    async def test_chunked_bodies_far_over_the_limit(self):
        """Guards against bodies that are kept until they pass the limit."""
        start = head("POST", JOB_PATH, CHUNKED)
        await self.crowd_of("gateway").send(
            N_CLIENTS, start, 2 * BODY_BYTES, is_chunked=True
        )
        await self.check_gateway()

    async def test_idle_connections_and_half_sent_heads(self):
        """Guards against idle connections that keep ordinary callers out."""
        crowd = self.crowd_of("gateway")
        await crowd.send(N_IDLE_CLIENTS // 2, b"")
        await crowd.send(N_IDLE_CLIENTS // 2, head("POST", JOB_PATH)[:-2])
        await self.check_gateway()


class TestController(MemoryCase):
    """A controller's port for endpoints and operators; the controller leads."""

    roles = ("controller",)

    async def check_controller(self):
        """Check the controller with the request of an ordinary operator."""
        await self.check_bounds(self.call("controller", "GET", "/config/read"))

    async def test_announced_bodies_that_stop_short(self):
        """Guards against bodies that are kept while their rest never comes."""
        start = head("POST", "/config/replace", f"Content-Length: {BODY_BYTES}")
        await self.crowd_of("controller").send(N_CLIENTS, start, BODY_BYTES - 1000)
        await self.check_controller()

    async def test_complete_bodies(self):
        """Guards against bodies that are kept while others are decoded."""
        start = head("POST", "/config/replace", CHUNKED)
        await self.crowd_of("controller").send(
            N_CLIENTS, start, BODY_BYTES, is_chunked=True
        )
        await self.check_controller()

    async def test_announced_bodies_far_over_the_limit(self):
        """Guards against bodies that are kept although they are refused."""
        start = head("POST", "/config/replace", f"Content-Length: {10 * BODY_BYTES}")
        await self.crowd_of("controller").send(N_CLIENTS, start, 2 * BODY_BYTES)
        await self.check_controller()

    async def test_chunked_bodies_far_over_the_limit(self):
        """Guards against bodies that are kept until they pass the limit."""
        start = head("POST", "/instances/vm-1/heartbeat", CHUNKED)
        await self.crowd_of("controller").send(
            N_CLIENTS, start, 2 * BODY_BYTES, is_chunked=True
        )
        await self.check_controller()

    async def test_idle_connections_and_half_sent_heads(self):
        """Guards against idle connections that keep endpoints and operators out."""
        crowd = self.crowd_of("controller")
        await crowd.send(N_IDLE_CLIENTS // 2, b"")
        await crowd.send(N_IDLE_CLIENTS // 2, head("GET", "/config/read")[:-2])
        await self.check_controller()


class TestWholeSystem(MemoryCase):
    """A controller that leads, and a gateway that relays calls to it."""

    roles = ("controller", "gateway")

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.dumps(plan(1)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)

    async def check_job(self):
        """Check both processes, and that a job is accepted."""
        status = await self.wait_status("gateway", "POST", JOB_PATH, JOB)
        await self.check_bounds(asyncio.sleep(0, status))
        self.assertEqual(status, 200)

    async def test_relayed_bodies(self):
        """Guards against bodies that accumulate in the link and at the leader."""
        start = head(
            "POST",
            JOB_PATH[:-1] + "b",
            f"Content-Length: {BODY_BYTES}",
            f"Authorization: Bearer {KEY}",
        )
        await self.crowd_of("gateway").send(N_CLIENTS, start, BODY_BYTES)
        await self.check_job()

    async def test_single_body_of_the_largest_size(self):
        """Guards against limits that an ordinary client reaches."""
        job = JOB.ljust(MAX_BODY_BYTES)
        status = await self.wait_status("gateway", "POST", JOB_PATH[:-1] + "c", job)
        self.assertEqual(status, 200)
        await self.check_job()

    async def test_bodies_of_many_values(self):
        """Guards against bodies that take far more memory once they are decoded."""
        for role, path in (("gateway", JOB_PATH), ("controller", "/config/replace")):
            for name in ("steps", "routes"):
                start = b'{"%b":[' % name.encode()
                body = start + b"{}," * (BODY_BYTES // 3) + b"{}]}"
                await self.call(role, "POST", path, body)
        status = await self.wait_status("gateway", "POST", JOB_PATH, JOB)
        await self.check_bounds(
            asyncio.sleep(0, status), max_resident_bytes=MAX_DECODING_BYTES
        )
        self.assertEqual(status, 200)

    async def test_bodies_that_stop_short_on_both_ports(self):
        """Guards against partial bodies that take the memory of ordinary calls."""
        for role, path in (("gateway", JOB_PATH), ("controller", "/config/replace")):
            start = head("POST", path, f"Content-Length: {BODY_BYTES}")
            await self.crowd_of(role).send(N_CLIENTS, start, BODY_BYTES - 1000)
        await self.check_job()
