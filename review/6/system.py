"""Starts the programs of the deploy file on loopback addresses, for review scripts."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "failClosed": False, "revokeMs": 5000, "quotaWindowS": 5, "quotaOvershoot": 0.1,
    "quotaSlack": 20, "recoveryS": 12, "maxHoldMs": 10000, "stopGraceMs": 400,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remotePenalty": 1.5, "checkpointS": 0.5,
    "restoreMs": 250, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
    "fencingEnforced": False, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100,
    "impactMs": 4000,
}
KEY = "key-of-tenant-one-0001"
HOST = "queue.example"
PREFIX = "/jobs/"
SERVICE = "pool-a"


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._start:8.3f}  {text}"
        print(line, file=self._file, flush=True)


def lookup(scopes, name):
    if name == ".":
        return scopes[-1].get(".")
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(text_of(v) for v in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def render(text, scopes):
    """Fill in a template of the deploy file."""
    out, position = [], 0
    while (match := TAG.search(text, position)) is not None:
        out.append(text[position:match.start()])
        kind, name = match[1], match[2].strip()
        position = match.end()
        if kind in ("#", "^"):
            end, inner_end = closing(text, position, name)
            inner = text[position:inner_end]
            position = end
            value = lookup(scopes, name)
            if kind == "^":
                if not value:
                    out.append(render(inner, scopes))
            elif isinstance(value, (dict, list)):
                pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
                for i, (key, entry) in enumerate(pairs):
                    scope = dict(entry) if isinstance(entry, dict) else {}
                    scope |= {".": entry, "@": key, ",": "," if i < len(pairs) - 1 else ""}
                    out.append(render(inner, [*scopes, scope]))
            elif value:
                out.append(render(inner, [*scopes, {".": value}]))
        else:
            out.append(text_of(lookup(scopes, name)))
    out.append(text[position:])
    return "".join(out)


def closing(text, position, name):
    depth = 1
    for match in TAG.finditer(text, position):
        if match[2].strip() != name or not match[1]:
            continue
        depth += -1 if match[1] == "/" else 1
        if not depth:
            return match.end(), match.start()
    raise ValueError(f"section {name} is not closed")


async def call(address, method, path, body=None, *, key=KEY, host=HOST, timeout=3.0,
               headers=()):
    """Send one HTTP request on a channel of its own; return (status, body).

    The status is 0 if there was no complete answer.
    """
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Content-Type: application/json",
                     f"Content-Length: {len(data)}", f"Request-Deadline: {int(timeout * 1000)}"]
            if key:
                lines.append(f"Authorization: Bearer {key}")
            lines += headers
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    length = 0
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, await reader.readexactly(length)


class Process:
    """One program of the deploy file."""

    def __init__(self, system, role, name, ip):
        self.system, self.role, self.name, self.ip = system, role, name, ip
        self.popen = None
        self.ports = {}
        self.is_stopped = False

    @property
    def calls(self):
        return f"{self.ip}:{self.ports['calls']}"

    async def start(self, *, bootstrap=False):
        system = self.system
        spec = system.roles[self.role]
        fields = system.fields(self, bootstrap=bootstrap)
        path = system.folder / f"{self.name}.settings"
        template = (ROOT / spec["template"]).read_text()
        path.write_text(render(template, [fields]))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "REDWINGSLIP_SETTINGS": str(path),
                "PYTHONDONTWRITEBYTECODE": "1"}
        words = spec["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        log = open(system.folder / f"{self.name}.log", "ab")
        self.popen = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.is_stopped = False
        system.record(f"{self.name} started, process {self.popen.pid}")

    def signal(self, number):
        if self.popen is not None and self.popen.returncode is None:
            self.popen.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)
        self.is_stopped = True
        self.system.record(f"{self.name} frozen (SIGSTOP)")

    def thaw(self):
        self.signal(signal.SIGCONT)
        self.is_stopped = False
        self.system.record(f"{self.name} continues (SIGCONT)")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.popen.wait()
        self.system.record(f"{self.name} killed (SIGKILL)")

    @property
    def is_running(self):
        return self.popen is not None and self.popen.returncode is None


class System:
    """A small deployment: controllers, gateways and a cloud that lists no machines."""

    def __init__(self, record, *, n_controllers=5, n_gateways=2, heartbeat_ms=1500):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-review-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.heartbeat_ms = heartbeat_ms
        self.controllers = [Process(self, "controller", f"core-{i + 1}", f"{self.net}.{10 + i}")
                            for i in range(n_controllers)]
        self.gateways = [Process(self, "gateway", f"front-{i + 1}", f"{self.net}.{100 + i}")
                         for i in range(n_gateways)]
        ports = free_ports(self.net, 4)
        self.internal = ports[0]
        for process in [*self.controllers, *self.gateways]:
            process.ports = {"calls": ports[1], "ready": ports[2]}
        self.cloud_address = f"{self.net}.200:{ports[3]}"
        self._server = None

    def fields(self, process, *, bootstrap):
        is_core = process.role == "controller"
        listen = ({"controlPlane": process.calls} if is_core else
                  {"frontendAddress": process.calls,
                   "readinessAddress": f"{process.ip}:{process.ports['ready']}"})
        data = self.folder / f"{process.name}-data"
        if is_core:
            data.mkdir(exist_ok=True)
        return {
            "nodeName": process.name, "role": process.role,
            "machineClass": "core" if is_core else "frontend",
            "serves": ["control_plane" if is_core else "frontend"],
            "ip": process.ip, "zone": "zone-a", "region": "region-a",
            "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "listenAddresses": listen,
            "internalPortRange": [self.internal, self.internal + 15],
            "seedNodes": [p.calls for p in self.controllers[:3]],
            "bootstrap": bootstrap, "lossCounts": is_core,
            "dataDir": str(data) if is_core else None,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "heartbeatMs": self.heartbeat_ms, "bounds": BOUNDS, "orders": "invocation",
            "cloudApi": {"address": self.cloud_address, "ratePerS": 64.0, "dutiesPerS": 64.0},
        }

    async def start(self):
        ip, port = self.cloud_address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve_cloud, ip, int(port))
        for process in [*self.controllers, *self.gateways]:
            await process.start(bootstrap=True)

    async def _serve_cloud(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = b'{"machines":[]}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def send_config(self, version, config=None):
        """Send a configuration until it is acknowledged."""
        config = config or configuration(version)
        for _ in range(60):
            for process in self.controllers:
                status, _ = await call(process.calls, "POST", "/config/replace", config,
                                       timeout=1.0)
                if status == 200:
                    self.record(f"configuration {version} acknowledged by {process.name}")
                    return True
            await asyncio.sleep(0.25)
        return False

    async def is_ready(self, gateway):
        status, _ = await call(f"{gateway.ip}:{gateway.ports['ready']}", "GET", "/ready",
                               timeout=0.5)
        return status == 200

    async def wait_ready(self, gateway, timeout):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await self.is_ready(gateway):
                return True
            await asyncio.sleep(0.02)
        return False

    async def stop(self):
        for process in [*self.controllers, *self.gateways]:
            if process.is_running:
                process.signal(signal.SIGKILL)
                await process.popen.wait()
        if self._server is not None:
            self._server.close()
        if os.environ.get("KEEP"):
            self.record(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Worker:
    """A sound worker: it runs what it is told to and reports itself."""

    def __init__(self, system, number, *, cpu=64000, service=SERVICE):
        self.system, self.service, self.number = system, service, number
        self._writers = set()
        self.listed_ends = []
        self.id = f"w-{number}-{random.randrange(16**6):06x}"
        self.machine = f"m-{number}"
        self.ip = f"{system.net}.{150 + number}"
        self.port = free_ports(system.net, 1)[0]
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.n_ended = 0
        self.highest = {}
        self.starts = []
        self.leader = ""
        self.run_s = 0.3
        self.state = "ready"
        self._tasks = []
        self._changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch())]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def crash(self):
        """End without notice: nothing is answered, and open channels are reset."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.running.clear()

    def successor(self):
        """Return the next life on the machine, at the same address, with the same id."""
        other = Worker(self.system, self.number, cpu=self.cpu, service=self.service)
        other.id, other.port, other.run_s = self.id, self.port, self.run_s
        return other

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": "zone-a", "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
                "machine": self.machine, "labels": ["a", "r1-1"], "clockMs": self.clock_ms(),
                "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0}}

    async def beat_once(self):
        targets = [p.calls for p in self.system.controllers]
        random.shuffle(targets)
        if self.leader:
            targets.insert(0, self.leader)
        for target in targets:
            status, body = await call(target, "POST", f"/instances/{self.id}/heartbeat",
                                      self.report(), timeout=1.0)
            if status == 200:
                self.leader = json.loads(body).get("heartbeatAddress", "")
                return target
        self.leader = ""
        return None

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(self.system.heartbeat_ms / 1000 if self.leader else 0.2)

    async def _watch(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock_ms()
            if self.running and now > self.until:
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, (_, _, done_at) in list(self.running.items()):
                if done_at is not None and time.monotonic() >= done_at:
                    self._end(task, "done")

    def _end(self, task, how):
        run, _, _ = self.running.pop(task)
        self.n_ended += 1
        self.ended.append([self.n_ended, task, run, how, ""])
        self.listed_ends.append(self.ended[-1])
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.system.record(f"{self.id}: {task} run {run} ended {how}")
        self._changed.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                path = head[0].split()[1]
                headers = {n.lower(): v.strip() for n, _, v in (h.partition(":") for h in head[1:])}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = headers.get("target-instance", self.id)
                if target != self.id:
                    status, doc = 421, {}
                else:
                    status, doc = await self._order(path, json.loads(body or b"{}"))
                data = json.dumps(doc | {"clockMs": self.clock_ms()}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _order(self, path, doc):
        fence = doc.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        until = min(doc.get("notAfterMs", 0), self.clock_ms() + BOUNDS["maxHoldMs"])
        if path == "/run-start":
            return self._start_run(doc, until)
        if path == "/run-stop":
            task, run = doc["task"], doc["runId"]
            self.highest[task] = max(run, self.highest.get(task, 0))
            if task in self.running and self.running[task][0] <= run:
                self._end(task, "stopped")
            return 200, {}
        if path != "/hold":
            return 404, {}
        self.until = max(self.until, until)
        acked = doc.get("ackCursor", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        if doc.get("waitMs") and not self.ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(doc["waitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = [[task, run, "", 100 if done_at is None else 50, 0]
                for task, (run, _, done_at) in self.running.items()]
        return 200, {"running": rows, "endedRuns": self.ended[:500], "born": self.born}

    def _start_run(self, doc, until):
        task, run = doc["task"], doc["runId"]
        present = self.running.get(task)
        if present is not None and present[0] == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or present is not None:
            self.until = max(self.until, until)
            return 409, {"reason": "old"}
        if until < self.clock_ms():
            return 409, {"reason": "late"}
        self.until = max(self.until, until)
        done_at = None if self.run_s is None else time.monotonic() + self.run_s
        self.running[task] = (run, doc["spec"], done_at)
        self.starts.append((time.monotonic(), task, run))
        self.system.record(f"{self.id}: starts {task} run {run} (token {doc['fencingToken']})")
        return 200, {}


def configuration(version, **tenant):
    return {
        "version": version,
        "routes": [{"name": "r-one", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
                    "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 1,
                    "service": SERVICE, "maxAttempts": 4, "stretch": 1.6, "public": False}],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                      "protocol": "h1", "tls": False, "enforcesCapacity": True,
                      "standby": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-one", "apiKeys": [KEY], "priority": 1, "weight": 20,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}],
    }


def submission(count=1, cpu=500):
    return {"spec": "work", "steps": [{"count": count, "cpu": cpu, "memMb": 64,
                                       "estimateMs": 300}]}


def new_id():
    return f"{random.getrandbits(64):016x}"


def free_ports(net, n):
    """Return ports that are free on the loopback addresses of a run."""
    sockets = []
    for _ in range(n):
        sock = socket.socket()
        sock.bind((f"{net}.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def run_case(main, folder):
    """Run a case within its time, and exit.

    The status is 10 if the rule held, 11 if it was broken and 12 if the case could not
    run. `run.sh` takes any other one, such as that of a failed import, for the last.
    """
    result = asyncio.run(_run(main, Record(Path(folder) / "record.txt")))
    sys.exit(10 + result)


async def _run(main, record):
    holder = []
    try:
        async with asyncio.timeout(112):
            return await main(record, holder)
    except TimeoutError:
        record("the case did not end in time")
        return 2
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        for item in reversed(holder):
            await item.stop()
