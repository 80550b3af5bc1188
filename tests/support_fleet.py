"""A complete fleet in one process: controllers, a gateway and a stand-in worker."""

import asyncio
import time
from datetime import timedelta
from pathlib import Path

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from redwingslip.daemons import (
    ControllerApp,
    ControllerSettings,
    GatewayApp,
    GatewaySettings,
)
from redwingslip.http import (
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    HttpLimits,
    HttpServer,
    build_app,
)
from redwingslip.observe import NullSink
from redwingslip.settings import parse_settings

# The tests check answers, not times: a call waits until a leader answers, also where a
# busy machine costs the fleet its leader. Longer than the patience of the relays.
TIMEOUT = timedelta(seconds=30)
PATIENCE = "20s"
HOST = "jobs.example"
KEY = "k-forges"


def plan(version=1, *, timeout_ms=3000):
    """Return a plan document with a queue that requires a key and a public one."""
    route = {
        "host": HOST,
        "kind": "unsafe",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 600,
        "service": "s1",
        "maxAttempts": 2,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [
            {**route, "name": "keyed", "pathPrefix": "/keyed/"},
            {**route, "name": "open", "pathPrefix": "/open/", "public": True},
        ],
        "services": [{"name": "s1"}],
        "tenants": [{"name": "forges", "apiKeys": [KEY], "weight": 1}],
    }


class StandInWorker:
    """Runs tasks, checks fencing tokens and records starts and ends of runs.

    Parameters
    ----------
    address : str
        Address to listen on.
    work_s : float
        Duration of each run in seconds.

    Attributes
    ----------
    highest_token : int
        The highest fencing token received.
    running : dict
        Number of the current run by task.
    ends : list
        Ended runs as on the wire: cursor, task, run, kind and checkpoint.
    started : list of tuple
        Task and number of each run, in the order of their starts.
    n_done : dict
        Number of successful runs by task.
    """

    def __init__(self, address, work_s=0.05):
        host, _, port = address.rpartition(":")
        routes = [
            Route("/run-start", self._start, methods=["POST"]),
            Route("/run-stop", self._stop, methods=["POST"]),
            Route("/hold", self._hold, methods=["POST"]),
        ]
        self.address = address
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.highest_token = 0
        self.running = {}
        self.ends = []
        self.started = []
        self.n_done = {}
        self._tasks = set()
        self._server = HttpServer(
            build_app(routes), HttpLimits(), host=host, port=int(port)
        )

    async def start(self):
        """Listen."""
        await self._server.start()

    async def stop(self):
        """Stop immediately, without waiting for runs."""
        for task in self._tasks:
            task.cancel()
        await self._server.abort()

    def report(self, sequence):
        """Return the worker's heartbeat document."""
        return {
            "service": "s1",
            "address": self.address,
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": self._clock(),
            "sequence": sequence,
            "machine": "m-1",
            "born": self.born_ms,
        }

    def _clock(self):
        return int(time.monotonic() * 1000)

    def _is_stale(self, doc):
        if doc.get("fencingToken", 0) < self.highest_token:
            return True
        self.highest_token = doc["fencingToken"]
        return False

    def _reply(self, status=200, **fields):
        body = {"clockMs": self._clock(), "born": self.born_ms, **fields}
        return JSONResponse(body, status_code=status)

    async def _start(self, req: Request):
        doc = msgspec.json.decode(await req.body())
        if self._is_stale(doc):
            return self._reply(409, reason="fence")
        name, number = doc["task"], doc["runId"]
        if self.running.get(name) == number:
            return self._reply()
        if (name, number) in self.started or name in self.running:
            return self._reply(409, reason="old")
        self.started.append((name, number))
        self.running[name] = number
        task = asyncio.create_task(self._work(name, number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self._reply()

    async def _work(self, name, number):
        await asyncio.sleep(self.work_s)
        if self.running.get(name) == number:
            self._end(name, number, "done")
            self.n_done[name] = self.n_done.get(name, 0) + 1

    def _end(self, name, number, kind):
        del self.running[name]
        self.ends.append([len(self.ends) + 1, name, number, kind, ""])

    async def _stop(self, req: Request):
        doc = msgspec.json.decode(await req.body())
        if self._is_stale(doc):
            return self._reply(409, reason="fence")
        if self.running.get(doc["task"]) == doc["runId"]:
            self._end(doc["task"], doc["runId"], "stopped")
        return self._reply()

    async def _hold(self, req: Request):
        doc = msgspec.json.decode(await req.body())
        if self._is_stale(doc):
            return self._reply(409, reason="fence")
        cursor = doc.get("ackCursor", 0)
        until = time.monotonic() + doc.get("waitMs", 0) / 1000
        while len(self.ends) <= cursor and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return self._reply(
            running=[[name, run, "", 50] for name, run in self.running.items()],
            endedRuns=[end for end in self.ends if end[0] > cursor],
        )


class Fleet:
    """Three controllers and a gateway, each on its own loopback address.

    Parameters
    ----------
    folder : Path
        Parent of the data folders.
    ports : int
        The first of four consecutive free ports.
    """

    def __init__(self, folder: Path, ports: int):
        self.folder = folder
        self.ports = ports
        self.submitters = f"127.0.0.14:{ports + 1}"
        self.controllers = {}
        self.gateway = None
        self.client = ClientPool(ClientLimits(connect_timeout=TIMEOUT))
        (folder / "secret").write_text("tests")

    def _settings_text(self, n, *, calls):
        seeds = ", ".join(f"127.0.0.{k}:{self.ports + 1}" for k in (11, 12, 13))
        return f"""
[process]
id = process-{n}
data_centre = z1
[peers]
listen = 127.0.0.{n}:{self.ports}
[cluster]
secret_file = {self.folder}/secret
seeds = {seeds}
is_founding = yes
[relay]
caller_patience = {PATIENCE}
control_patience = {PATIENCE}
[listen]
calls = 127.0.0.{n}:{calls}
"""

    def _controller(self, n):
        text = self._settings_text(n, calls=self.ports + 1)
        text += f"[replica]\ndata_folder = {self.folder}/replica-{n}\n"
        cfg = parse_settings(text, ControllerSettings)
        return ControllerApp(cfg, events=NullSink())

    async def start(self):
        """Start every process."""
        text = self._settings_text(14, calls=self.ports + 2)
        text += f"readiness = 127.0.0.14:{self.ports + 3}\n"
        text += f"submitters = {self.submitters}\n"
        for n in (11, 12, 13):
            await self.start_controller(n)
        cfg = parse_settings(text, GatewaySettings)
        self.gateway = GatewayApp(cfg, events=NullSink())
        await self.gateway.start()

    async def start_controller(self, n):
        """Start a controller with the stored state in its data folder."""
        self.controllers[n] = self._controller(n)
        await self.controllers[n].start()

    async def stop(self):
        """Stop every process."""
        await self.gateway.stop()
        for app in self.controllers.values():
            await app.stop()
        await self.client.close()

    def leader(self):
        """Return the number of the leading controller, or None."""
        for n, app in self.controllers.items():
            if app.replica.has_quorum_lease():
                return n
        return None

    async def wait_for_leader(self, timeout=15):
        """Return the number of the leading controller, once there is one."""
        async with asyncio.timeout(timeout):
            while (n := self.leader()) is None:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return n

    async def call(self, method, path, doc=None, *, key=KEY):
        """Call the gateway; return status and body."""
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        address = f"127.0.0.14:{self.ports + 2}"
        return await self._exchange(address, method, path, doc, headers)

    async def submitter(self, method, path, doc=None, *, key=KEY):
        """Call the gateway's own jobs interface; return status and body."""
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return await self._exchange(self.submitters, method, path, doc, headers)

    async def control(self, method, path, doc=None, *, at=11):
        """Call a controller; return status and body."""
        address = f"127.0.0.{at}:{self.ports + 1}"
        return await self._exchange(address, method, path, doc, {})

    async def is_ready(self):
        """Return whether the gateway reports that it is ready."""
        address = f"127.0.0.14:{self.ports + 3}"
        status, _ = await self._exchange(address, "GET", "/ready", None, {})
        return status == 200

    async def _exchange(self, address, method, path, doc, headers):
        body = doc if isinstance(doc, bytes) else b""
        if doc is not None and not body:
            body = msgspec.json.encode(doc)
        req = ClientRequest(
            address=address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            timeout=TIMEOUT,
        )
        try:
            answer = await self.client.exchange(req)
        except HttpError:
            return 0, {}
        try:
            return answer.status, msgspec.json.decode(answer.body)
        except msgspec.DecodeError:
            return answer.status, {}
