"""Tests that reports of VMs that nobody knows can't take the memory of a controller.

Like `test_memory_limits`: processes with limits lowered in their settings, fixed
numbers of clients and fixed bounds; no times and no share of accepted reports.
"""

import asyncio
import contextlib
import json
import socket
from typing import ClassVar

from scripts.fleet_processes import free_ports

from tests.support_fleet import StandInWorker, plan
from tests.support_memory import CALLER_HOST, CROWD_HOST, ask
from tests.test_memory_limits import JOB, JOB_PATH, MemoryCase

N_CLIENTS = 20
N_REPORTS = 2_000
N_LABELS = 100
LABEL = "x" * 20
POOL = "s1"
BORN_MS = 1_700_000_000_000
# Nothing listens on the discard port.
CLOSED_PORT = 9
# Each has a listening socket of the test.
N_SILENT_VMS = 500
N_ATTEMPTS = 60
RETRY_S = 0.5


class ReportsCase(MemoryCase):
    """A controller that leads, and a gateway."""

    roles = ("controller", "gateway")
    extra_settings: ClassVar[dict[str, str]] = {
        "controller": "[scheduling]\nmax_unconfirmed_vms = 100\n"
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.dumps(plan(1)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)

    def report_of(self, number, address):
        """Return path and body of the report of an invented VM."""
        doc = {
            "service": POOL,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
            "labels": [f"{i:03}{LABEL}" for i in range(N_LABELS)],
            "clockMs": 482113,
            "sequence": 4,
            "born": BORN_MS + number,
            "machine": f"m-{number}",
        }
        return f"/instances/i-{number:08x}/heartbeat", json.dumps(doc).encode()

    async def send_reports(self, addresses):
        """Let clients report VMs that don't exist, each one after the other."""

        async def run_client(client):
            for number in range(client, len(addresses), N_CLIENTS):
                path, body = self.report_of(number, addresses[number])
                await ask(self.daemons.controller, "POST", path, body)

        await asyncio.gather(*(run_client(i) for i in range(N_CLIENTS)))

    async def check_ordinary_calls(self):
        """Check that a true VM runs an accepted job, and check the bounds."""
        worker = StandInWorker(f"{CALLER_HOST}:{free_ports(1)[0]}")
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        path = "/instances/i-true/heartbeat"
        for sequence in range(N_ATTEMPTS):
            body = json.dumps(worker.report(sequence)).encode()
            await ask(self.daemons.controller, "POST", path, body)
            status = await self.call("gateway", "POST", JOB_PATH, JOB)
            if worker.n_done:
                break
            await asyncio.sleep(RETRY_S)
        await self.check_bounds(asyncio.sleep(0, status))
        self.assertEqual((status, len(worker.n_done)), (200, 1))


class TestReports(ReportsCase):
    """Reports of VMs that were never there."""

    async def test_vms_whose_address_refuses_connections(self):
        """Guards against records and polls of VMs that were never there."""
        addresses = [
            f"127.1.{number // 250}.{number % 250 + 1}:{CLOSED_PORT}"
            for number in range(N_REPORTS)
        ]
        await self.send_reports(addresses)
        await self.check_ordinary_calls()

    async def test_vms_whose_address_never_answers(self):
        """Guards against polls that wait for VMs that were never there."""
        with contextlib.ExitStack() as stack:
            addresses = []
            for _ in range(N_SILENT_VMS):
                sock = stack.enter_context(socket.create_server((CROWD_HOST, 0)))
                addresses.append(f"{CROWD_HOST}:{sock.getsockname()[1]}")
            await self.send_reports(addresses)
            await self.check_ordinary_calls()
