"""Tests that clients which cost processor time do not cost a leader its lease.

Three controllers and a gateway run as processes, like in `test_memory_limits`. A crowd
sends input that takes long to process to the leader. The tests check that the processes
live within their bounds, that no leader was replaced, and that a job is accepted.
"""

import asyncio
import json
from typing import ClassVar

from tests.support_fleet import plan
from tests.support_memory import CONTROLLERS, head
from tests.test_memory_limits import (
    CHUNKED,
    JOB,
    JOB_PATH,
    MAX_RESIDENT_BYTES,
    MemoryCase,
)

N_CLIENTS = 60
N_CHUNKS = 6_000
N_PIPELINED = 400
CHUNK = b"1\r\nx\r\n"
# The largest job within the limits.
N_STEPS = 100_000
# The memory of the smallest machine of a controller.
MAX_LARGE_JOB_BYTES = 296_000_000
N_ORDINARY_JOBS = 10
N_LOOKS = 200
LOOK_INTERVAL_S = 0.1
# The leader keeps its lease if it has a turn at least each 1.4 s.
CONSENSUS = "[consensus]\nelection_timeout_min = 1500 ms\nelection_timeout_max = 3 s\n"


class TestLeader(MemoryCase):
    """Three controllers, one of which leads, and a gateway."""

    roles = (*CONTROLLERS, "gateway")
    extra_settings: ClassVar[dict[str, str]] = dict.fromkeys(CONTROLLERS, CONSENSUS)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for _ in range(N_LOOKS):
            if len(self.leaders()) == 1 and self.n_members() == len(CONTROLLERS):
                break
            await asyncio.sleep(LOOK_INTERVAL_S)
        document = json.dumps(plan(1)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)
        (self.leader,) = self.leaders()

    def leaders(self):
        """Return the controllers that have been elected and not replaced."""
        return [
            role
            for role in CONTROLLERS
            if len(self.daemons.events(role, "leader.elected"))
            > len(self.daemons.events(role, "leader.stepped_down"))
        ]

    def n_members(self):
        """Return the number of members, the first of which founded the log."""
        return 1 + len(self.daemons.events("controller", "member.changed"))

    async def check_leader(self, *, max_resident_bytes=MAX_RESIDENT_BYTES):
        """Check that the leader was not replaced, and that a job is accepted."""
        status = await self.wait_status("gateway", "POST", JOB_PATH, JOB)
        await self.check_bounds(
            asyncio.sleep(0, status), max_resident_bytes=max_resident_bytes
        )
        self.assertEqual(status, 200)
        elected = [len(self.daemons.events(r, "leader.elected")) for r in CONTROLLERS]
        self.assertEqual((self.leaders(), sum(elected)), ([self.leader], 1))

    async def test_chunks_of_one_byte(self):
        """Guards against chunks whose processing takes a loop for seconds."""
        start = head("POST", "/config/replace", CHUNKED)
        await self.crowd_of(self.leader).send(N_CLIENTS, start + CHUNK * N_CHUNKS)
        await self.check_leader()

    async def test_pipelined_requests(self):
        """Guards against requests that are sent without waiting for answers."""
        start = head("GET", "/config/read") * N_PIPELINED
        await self.crowd_of(self.leader).send(N_CLIENTS, start)
        await self.check_leader()

    async def test_job_of_many_steps(self):
        """Guards against rounds of placement that take the leader for seconds."""
        job = {"steps": [{"count": 1, "cpu": 500}] * N_STEPS}
        body = json.dumps(job, separators=(",", ":")).encode()
        path = JOB_PATH[:-1] + "b"
        self.assertEqual(await self.wait_status("gateway", "POST", path, body), 200)
        for number in range(N_ORDINARY_JOBS):
            path = f"{JOB_PATH[:-4]}{number:04}"
            await self.wait_status("gateway", "POST", path, JOB)
        await self.check_leader(max_resident_bytes=MAX_LARGE_JOB_BYTES)
