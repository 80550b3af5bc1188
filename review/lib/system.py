"""Starts a small deployment of the project's programs on loopback addresses."""

import asyncio
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from loopback import call
from world import Record, Worker, World

ROOT = Path(__file__).resolve().parent.parent.parent
MAX_HOLD_MS = 10_000
LEASE_MS = 3_000
CALL_TIMEOUT_S = 3.0
OPERATOR_TIMEOUT_S = 1.0


class CannotRunError(Exception):
    """The case could not be run; its result says nothing about the rule."""


class Program:
    """One process of the system, which can be killed and started again."""

    def __init__(self, system, name, role, settings):
        self.system = system
        self.name = name
        self.role = role
        self.settings_path = system.folder / f"{name}.ini"
        self.settings_path.write_text(settings)
        self.log_path = system.folder / f"{name}.log"
        self.process = None

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "REDWINGSLIP_SETTINGS": str(self.settings_path),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/serve.py", self.role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.system.record.note(f"{self.name} starts")

    def send_signal(self, signum):
        self.system.record.note(f"{self.name} gets {signal.Signals(signum).name}")
        self.process.send_signal(signum)

    def replace_settings(self, old, new):
        """Change the settings file, as the platform does for the next start."""
        text = self.settings_path.read_text()
        self.settings_path.write_text(text.replace(old, new))

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class System:
    """A deployment of core machines, frontends and workers; three cores are seeds."""

    def __init__(self, record_path, *, n_workers, cpu=8_000, n_gateways=1, n_controllers=3):
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-review-"))
        self.record = Record(record_path)
        self.world = World(self.record)
        # A random network of its own, so that fixed ports can't collide.
        self._net = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(200) + 20}"
        self.control_port = _free_port(f"{self._net}.1")
        self.peer_port = _free_port(f"{self._net}.1", {self.control_port})
        self.front_port = _free_port(f"{self._net}.21", {self.peer_port})
        self.ready_port = _free_port(f"{self._net}.21", {self.front_port})
        self.platform = f"{self._net}.50:{_free_port(f'{self._net}.50')}"
        # Where a process reaches the platform, if not directly.
        self.platform_paths = {}
        self.controllers = []
        self.gateways = []
        self._n_workers = n_workers
        self._n_gateways = n_gateways
        self._n_controllers = n_controllers
        self._cpu = cpu
        self.key = secrets.token_hex(10)
        self.host = "queue.example"
        self.version = 0
        self.prefix = "/batch/"

    @property
    def leader(self):
        """Return the controller that was elected last."""
        elected = [
            (event["timestamp"], controller.name)
            for controller in self.controllers
            for line in controller.log_path.read_text().splitlines()
            if "leader.elected" in line
            for event in [json.loads(line)]
        ]
        name = max(elected)[1]
        return next(c for c in self.controllers if c.name == name)

    def address_near_platform(self, number):
        """Return a free address for a proxy in front of the platform."""
        ip = f"{self._net}.{60 + number}"
        return f"{ip}:{_free_port(ip)}"

    # Settings, rendered from the templates of the deploy file.

    def _fields(self, name, ip, serves):
        return {
            "nodeName": name,
            "zone": "z1",
            "region": "r1",
            "ip": ip,
            "internalPortRange.0": str(self.peer_port),
            "seedNodes": ",".join(self.world.controls[:3]),
            "bootstrap": "true",
            "listenAddresses.controlPlane": f"{ip}:{self.control_port}",
            "listenAddresses.frontendAddress": f"{ip}:{self.front_port}",
            "listenAddresses.readinessAddress": f"{ip}:{self.ready_port}",
            "dataDir": str(self.folder / f"data-{name}"),
            "bounds.maxHoldMs": str(MAX_HOLD_MS),
            "bounds.leaseMs": str(LEASE_MS),
            "cloudApi.address": self.platform_paths.get(name, self.platform),
        }

    def _render(self, role, fields):
        text = (ROOT / f"deploy/{role}.ini").read_text()

        def section(match):
            value = fields.get(match[1], "")
            return match[2].replace("{{.}}", value) if value else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields.get(m[1], ""), text)

    async def start(self):
        """Start everything, and put the first configuration in force."""
        await self.start_programs()
        await self.put_config(self.config(), give_up_after=25)
        await self.start_workers()

    async def start_programs(self):
        """Start the programs and the platform."""
        ips = [f"{self._net}.{i + 1}" for i in range(self._n_controllers)]
        self.world.controls = [f"{ip}:{self.control_port}" for ip in ips]
        await self.world.start_platform(self.platform)
        for i, ip in enumerate(ips):
            name = f"core-{i + 1}"
            settings = self._render("controller", self._fields(name, ip, "control"))
            self.controllers.append(Program(self, name, "controller", settings))
        for i in range(self._n_gateways):
            name = f"frontend-{i + 1}"
            ip = f"{self._net}.{21 + i}"
            settings = self._render("gateway", self._fields(name, ip, "frontend"))
            gateway = Program(self, name, "gateway", settings)
            gateway.address = f"{ip}:{self.front_port}"
            gateway.readiness = f"{ip}:{self.ready_port}"
            self.gateways.append(gateway)
        for program in (*self.controllers, *self.gateways):
            program.start()

    async def start_workers(self):
        """Start the workers, and wait until work can be handed in."""
        for i in range(self._n_workers):
            name = f"i-{i + 1:04d}"
            ip = f"{self._net}.{100 + i}"
            worker = Worker(
                self.world,
                name,
                address=f"{ip}:{_free_port(ip)}",
                service="svc",
                capacity={"cpu": self._cpu, "memMb": 16_000, "gpu": 0},
                labels=["a", f"r1-{i // 4}"],
            )
            self.world.workers[name] = worker
            await worker.start()
        await self._wait_ready()
        # Workers have reported, and the system has polled them.
        await asyncio.sleep(3)

    async def _wait_ready(self):
        for _ in range(200):
            replies = [
                await call(gateway.readiness, "GET", "/ready", timeout=1)
                for gateway in self.gateways
            ]
            if all(reply.status == 200 for reply in replies):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("a frontend does not become ready")

    # The operator.

    def config(self, *, routes=None, **route_fields):
        """Return the next version of the configuration."""
        self.version += 1
        if routes is None:
            routes = [self.route(**route_fields)]
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": "svc",
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": True,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {
                    "name": "tenant-1",
                    "apiKeys": [self.key],
                    "priority": 1,
                    "weight": 20,
                    "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0},
                }
            ],
        }

    def route(self, **fields):
        return {
            "name": "route-1",
            "host": self.host,
            "pathPrefix": self.prefix,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "svc",
            "maxAttempts": 4,
            "stretch": 1.6,
            "public": False,
            **fields,
        }

    async def put_config(self, config, *, give_up_after=15.0):
        """Send a configuration until it is acknowledged."""
        text = f"configuration {config['version']}"
        names = [route["name"] for route in config["routes"]]
        self.record.note(f"the operator sends {text}, routes {names}")
        until = self.record.now() + give_up_after
        turn = 0
        while self.record.now() < until:
            control = self.world.controls[turn % len(self.world.controls)]
            turn += 1
            reply = await call(
                control, "POST", "/config/replace", config, timeout=OPERATOR_TIMEOUT_S
            )
            if reply.status == 200:
                self.record.note(f"{text} is acknowledged")
                return
            if 400 <= reply.status < 500:
                raise CannotRunError(f"{text} is refused with {reply.status}")
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{text} is not acknowledged")

    # The consumer.

    async def consume(
        self, method, job_id, body=None, *, gateway=0, prefix="", key=""
    ):
        """Send one call of a consumer and return the reply."""
        path = f"{prefix or self.prefix}{job_id}"
        reply = await call(
            self.gateways[gateway].address,
            method,
            path,
            body,
            headers={
                "Host": self.host,
                "Authorization": f"Bearer {key or self.key}",
                "Request-Deadline": "3000",
            },
            timeout=CALL_TIMEOUT_S,
        )
        self.record.note(
            f"{method} {path} -> {reply.status} "
            f"{reply.body.decode(errors='replace')}"
        )
        return reply

    async def submit(self, submission):
        """Hand a submission in, as often as needed."""
        self.world.submissions[submission.id] = submission
        for _ in range(5):
            reply = await self.consume("POST", submission.id, submission.body)
            if 200 <= reply.status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError("a submission is not accepted")

    async def state_of(self, submission):
        """Return the state that a consumer is shown; empty if it gets none."""
        reply = await self.consume("GET", submission.id)
        return reply.doc.get("state", "") if reply.status == 200 else ""

    async def close(self):
        self.world.close()
        for program in (*self.gateways, *self.controllers):
            program.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_port(ip, excluded=frozenset()):
    while True:
        with socket.socket() as sock:
            sock.bind((ip, 0))
            port = sock.getsockname()[1]
        if port not in excluded and port != 9464:
            return port


def main(case, folder, *, is_started=True, **options):
    """Run `case(system, has_trouble)`, which returns True if the rule held.

    The system is started first, unless the case does it itself.
    The exit status is 0 if the rule held, 1 if it was broken, 2 if the case could not
    run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        system = System(Path(folder) / "record.txt", **options)
        # An early end must end the started processes too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            async with asyncio.timeout(110):
                if is_started:
                    await system.start()
                return await case(system, has_trouble)
        finally:
            if os.environ.get("KEEP_LOGS"):
                for path in system.folder.glob("*.log"):
                    shutil.copy(path, os.environ["KEEP_LOGS"])
            await system.close()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as exc:
        print(f"the case could not run: {exc!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
