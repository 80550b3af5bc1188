"""Tests that valid jobs can't make a controller use more memory than it may.

Like `test_memory_limits`: processes with limits lowered in their settings, fixed
numbers of clients and fixed bounds; no times and no share of accepted jobs are checked.
"""

import asyncio
import json
from typing import ClassVar

from tests.support_fleet import plan
from tests.support_memory import ask
from tests.test_memory_limits import KEY, MemoryCase

# An idle process uses 55 MB; bodies may use 16 MiB and jobs 32 MiB, and a job is
# decoded and copied before it is refused.
MAX_RESIDENT_BYTES = 200_000_000
N_CLIENTS = 8
N_JOBS_PER_CLIENT = 8
N_JOBS_IN_SERIES = 64
TEXT_BYTES = 3_900_000
MANY_TASKS = 20_000
JOBS_PATH = "/v1/queues/keyed/jobs"
ORDINARY_ID = "f" * 16
ORDINARY_JOB = {
    "payload": "x" * 2_000,
    "steps": [{"n_tasks": 3, "need": {"cpu": 500, "memory_mb": 100}}] * 4,
}


class TestJobs(MemoryCase):
    """A controller that leads, and a gateway with the interface for submitters."""

    roles = ("controller", "gateway")
    extra_settings: ClassVar[dict[str, str]] = {
        "controller": "[scheduling]\nkeep_ended = 1 s\nmax_job_bytes = 32 MiB\n"
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.dumps(plan(1)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)

    async def submit(self, number, job, *, is_cancelled=False):
        """Submit a job, and cancel it at once or not."""
        path = f"{JOBS_PATH}/{number:016x}"
        body = json.dumps(job).encode()
        await ask(self.daemons.submitters, "POST", path, body, key=KEY)
        if is_cancelled:
            await ask(self.daemons.submitters, "DELETE", path, key=KEY)

    async def submit_all(self, job):
        """Let each client submit jobs one after the other."""

        async def run_client(client):
            for i in range(N_JOBS_PER_CLIENT):
                await self.submit(client * N_JOBS_PER_CLIENT + i, job)

        await asyncio.gather(*(run_client(i) for i in range(N_CLIENTS)))

    async def check_ordinary_job(self):
        """Check that an ordinary job is accepted and found, and check the bounds."""
        path = f"{JOBS_PATH}/{ORDINARY_ID}"
        body = json.dumps(ORDINARY_JOB).encode()
        status, _ = await ask(self.daemons.submitters, "POST", path, body, key=KEY)
        found, _ = await ask(self.daemons.submitters, "GET", path, key=KEY)
        await self.check_bounds(
            asyncio.sleep(0, status), max_resident_bytes=MAX_RESIDENT_BYTES
        )
        self.assertEqual((status, found), (201, 200))

    async def test_jobs_of_many_tasks(self):
        """Guards against jobs that are small as text and large once decoded."""
        await self.submit_all({"steps": [{"n_tasks": MANY_TASKS}]})
        await self.check_ordinary_job()

    async def test_jobs_of_long_texts(self):
        """Guards against jobs of the largest size that accumulate in the state."""
        step = {"n_tasks": 1, "label": "x" * TEXT_BYTES}
        await self.submit_all({"steps": [step]})
        await self.check_ordinary_job()

    async def test_jobs_that_are_cancelled_at_once(self):
        """Guards against a log that keeps the jobs that the state has forgotten."""
        step = {"n_tasks": 1, "label": "x" * TEXT_BYTES}
        for number in range(N_JOBS_IN_SERIES):
            await self.submit(number, {"steps": [step]}, is_cancelled=True)
        await self.check_ordinary_job()
