"""End-to-end tests of a gateway, controllers and a worker over real sockets."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from typer.testing import CliRunner

from redwingslip.cli._app import app
from tests.support_fleet import KEY, Fleet, StandInWorker, plan

JOB = {
    "spec": "x",
    "steps": [
        {"count": 3, "cpu": 500, "memMb": 10, "estimateMs": 50},
        {"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 50, "after": [0]},
    ],
}


def free_ports():
    """Return the first of several consecutive ports that are likely to be free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.11", 0))
        return min(sock.getsockname()[1], 65_000)


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Jobs are accepted once, run once, and survive a change of leader."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = free_ports()
        self.fleet = Fleet(Path(folder.name), ports)
        self.worker = StandInWorker(f"127.0.0.15:{ports}")
        await self.worker.start()
        await self.fleet.start()
        self.heartbeats = asyncio.create_task(self.send_heartbeats())
        await self.until(self.fleet.is_ready)
        status, _ = await self.fleet.control("POST", "/config/replace", plan())
        self.assertEqual(status, 200)

    async def asyncTearDown(self):
        self.heartbeats.cancel()
        await self.fleet.stop()
        await self.worker.stop()

    async def send_heartbeats(self):
        """Send the worker's heartbeats to the controllers in turn."""
        for sequence in range(10_000):
            at = (11, 12, 13)[sequence % 3]
            doc = self.worker.report(sequence)
            await self.fleet.control("POST", "/instances/i-1/heartbeat", doc, at=at)
            await asyncio.sleep(0.2)

    async def until(self, condition, timeout=15):
        async with asyncio.timeout(timeout):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def wait_state(self, path, state, timeout=15):
        async def has_state():
            status, doc = await self.fleet.call("GET", path)
            return status == 200 and doc["state"] == state

        await self.until(has_state, timeout)

    async def test_a_job_runs_once_in_the_order_of_its_steps(self):
        path = "/keyed/0000000000000001"
        self.assertEqual((await self.fleet.call("POST", path, JOB))[0], 200)
        self.assertEqual((await self.fleet.call("POST", path, JOB))[0], 200)
        await self.wait_state(path, "completed")
        self.assertEqual(len(self.worker.started), 4)
        self.assertEqual(self.worker.started[-1][0].split(".")[2], "1")

    async def test_keys_and_addresses_are_checked(self):
        path = "/keyed/0000000000000002"
        for key in ("", "wrong"):
            status, _ = await self.fleet.call("POST", path, JOB, key=key)
            self.assertEqual(status, 401)
        cases = [
            ("POST", "/nowhere/0000000000000002", 404),
            ("GET", "/keyed/00000000000000ff", 410),
            ("GET", "/keyed/not-an-id", 404),
            ("DELETE", "/keyed/00000000000000ff", 410),
            ("GET", "/keyed/", 200),
        ]
        for method, path, wanted in cases:
            status, _ = await self.fleet.call(method, path, JOB)
            self.assertEqual(status, wanted, path)
        status, _ = await self.fleet.call("POST", "/open/0000000000000003", JOB, key="")
        self.assertEqual(status, 200)

    async def test_the_products_own_interface_submits_and_reads_a_job(self):
        path = "/v1/queues/keyed/jobs/00000000000000aa"
        doc = {"steps": [{"n_tasks": 2, "need": {"cpu": 500}, "estimate_ms": 50}]}
        for _ in range(2):
            status, job = await self.fleet.submitter("POST", path, doc)
            self.assertEqual((status, job["id"]), (201, "00000000000000aa"))

        async def is_completed():
            _, job = await self.fleet.submitter("GET", path)
            return job["status"] == "completed" and job["steps"][0]["n_done"] == 2

        await self.until(is_completed)
        self.assertEqual(len(self.worker.started), 2)
        status, listing = await self.fleet.submitter("GET", "/v1/queues/keyed/jobs")
        self.assertEqual([job["id"] for job in listing["items"]], ["00000000000000aa"])
        # The platform's interface serves the same jobs.
        status, doc = await self.fleet.call("GET", "/keyed/00000000000000aa")
        self.assertEqual((status, doc["state"]), (200, "completed"))

    async def test_the_products_own_interface_cancels_a_job(self):
        self.worker.work_s = 30
        path = "/v1/queues/keyed/jobs/00000000000000ab"
        doc = {"steps": [{"n_tasks": 1, "need": {"cpu": 500}}]}
        await self.fleet.submitter("POST", path, doc)
        status, job = await self.fleet.submitter("DELETE", path)
        self.assertEqual((status, job["status"]), (200, "cancelled"))

    async def test_refusals_of_the_products_own_interface_name_the_field(self):
        doc = {"steps": [{"n_tasks": 1}]}
        path = "/v1/queues/keyed/jobs/00000000000000ac"
        other = "/v1/queues/open/jobs/00000000000000ad"
        await self.fleet.submitter("POST", other, doc, key="")
        cases = [
            ("POST", path, doc, "", 401, "Authorization"),
            ("POST", "/v1/queues/none/jobs/00000000000000ac", doc, KEY, 404, ""),
            ("POST", "/v1/queues/keyed/jobs/no-id", doc, KEY, 422, "id"),
            ("POST", path, {"steps": [{"tasks": 1}]}, KEY, 422, "steps"),
            ("GET", path, None, KEY, 404, ""),
            ("GET", "/v1/queues/keyed/jobs/00000000000000ad", None, KEY, 404, ""),
            ("POST", "/v1/queues/keyed/jobs/00000000000000ad", doc, KEY, 404, ""),
        ]
        for method, path, body, key, wanted, field in cases:
            with self.subTest(method=method, path=path):
                status, problem = await self.fleet.submitter(
                    method, path, body, key=key
                )
                self.assertEqual(status, wanted, problem)
                self.assertIn(field, problem.get("field", ""))

    async def test_the_command_line_submits_and_reads_a_job(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        job = folder / "job.json"
        job.write_text('{"steps": [{"n_tasks": 2, "need": {"cpu": 500}}]}')
        key = folder / "key"
        key.write_text(KEY)
        options = ["--server", f"http://{self.fleet.submitters}"]
        options += ["--token-file", str(key), "--output", "json", "job"]

        async def redwingslip(*args):
            proc = await asyncio.to_thread(CliRunner().invoke, app, [*options, *args])
            self.assertEqual(proc.exit_code, 0, proc.output)
            return msgspec.json.decode(proc.stdout)

        done = await redwingslip("submit", "keyed", str(job), "--wait")
        self.assertEqual(done["status"], "completed")
        self.assertEqual(await redwingslip("get", "keyed", done["id"]), done)
        self.assertEqual(await redwingslip("list", "keyed"), done)
        self.assertEqual(await redwingslip("cancel", "keyed", done["id"]), done)

    async def test_an_internal_error_of_the_leader_is_answered(self):
        broken = mock.AsyncMock(side_effect=RuntimeError("broken"))
        with mock.patch("redwingslip.platform.answer_call", broken):
            status, doc = await self.fleet.call("GET", "/keyed/")
        self.assertEqual((status, doc["error"]), (500, "broken"))

    async def test_bad_bodies_are_refused_and_change_nothing(self):
        path = "/keyed/0000000000000004"
        for body in (b"{", b'{"steps":5}', b'{"steps":[{"count":"x"}]}'):
            status, doc = await self.fleet.call("POST", path, body)
            self.assertEqual(status, 400)
            self.assertTrue(doc["error"])
        self.assertEqual((await self.fleet.call("GET", path))[0], 410)

    async def test_invalid_plans_are_refused_and_older_ones_acknowledged(self):
        status, doc = await self.fleet.control(
            "POST", "/config/replace", plan(5, timeout_ms=0)
        )
        self.assertEqual(status, 400)
        self.assertIn("timeoutMs", doc["error"])
        for at in (11, 12, 13):
            status, doc = await self.fleet.control("GET", "/config/read", at=at)
            self.assertEqual((status, doc["version"]), (200, 1))
        status, _ = await self.fleet.control("POST", "/config/replace", plan(0))
        self.assertEqual(status, 200)

    async def test_a_cancelled_job_stops(self):
        self.worker.work_s = 30
        path = "/keyed/0000000000000005"
        await self.fleet.call("POST", path, JOB)
        await self.wait_state(path, "running")
        self.assertEqual((await self.fleet.call("DELETE", path))[0], 200)
        await self.wait_state(path, "cancelled")

        async def is_idle():
            return not self.worker.running

        await self.until(is_idle)

    async def test_running_work_survives_a_change_of_leader(self):
        self.worker.work_s = 2.5
        paths = [f"/keyed/{n:016x}" for n in range(16, 19)]
        for path in paths:
            self.assertEqual((await self.fleet.call("POST", path, JOB))[0], 200)
        await self.wait_state(paths[-1], "running")
        leader = await self.fleet.wait_for_leader()
        await self.fleet.controllers[leader].stop()
        del self.fleet.controllers[leader]
        late = "/keyed/00000000000000aa"

        async def is_accepted():
            return (await self.fleet.call("POST", late, JOB))[0] == 200

        await self.until(is_accepted)
        for path in (*paths, late):
            await self.wait_state(path, "completed", timeout=25)
        run_twice = [name for name, count in self.worker.n_done.items() if count > 1]
        self.assertEqual(run_twice, [])

    async def test_a_replica_whose_disk_is_lost_joins_again(self):
        leader = await self.fleet.wait_for_leader()
        n = next(k for k in (11, 12, 13) if k != leader)
        await self.fleet.controllers[n].stop()
        for path in (self.fleet.folder / f"replica-{n}").iterdir():
            path.unlink()
        (self.fleet.folder / f"replica-{n}").rmdir()
        # A replacement starts with `is_founding` off, so it bootstraps no log.
        app = self.fleet._controller(n)
        app._bootstrap_data_folder = lambda: None
        self.fleet.controllers[n] = app
        await app.start()

        async def is_repaired():
            leader = self.fleet.leader()
            if leader is None:
                return False
            replica = self.fleet.controllers[leader].replica
            name = f"127.0.0.{n}:{self.fleet.ports}"
            return replica.is_repaired(name, app.replica.incarnation)

        await self.until(is_repaired)
        self.assertEqual(app.machine.state.plan.version, 1)
