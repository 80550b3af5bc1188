"""A soak: clients that don't behave, ordinary callers, signals and restarts at once.

Each seed gives the order of the crowds and of what happens to the processes. Ordinary
callers keep one connection each until it is closed. In the end each process lives
within its bounds, and each job that was accepted is known. Longer runs by hand::

    REDWINGSLIP_SOAK_SEEDS=1-50 python -m unittest tests.test_clients_soak
"""

import asyncio
import contextlib
import json
import os
import random
import signal
from typing import ClassVar

from tests.support_fleet import plan
from tests.support_memory import CALLER_HOST, CONTROLLERS, KEY, head
from tests.test_memory_limits import CHUNKED, JOB, MemoryCase
from tests.test_memory_links import LinksCase, full_window, pings, reset_streams

SEEDS = os.environ.get("REDWINGSLIP_SOAK_SEEDS", "1-2")
DURATION_S = 25.0
N_CALLERS = 5
CALL_INTERVAL_S = 0.1
N_CLIENTS = 20
CHUNK = b"1\r\nx\r\n"
MAX_PAUSE_S = 1.5
MIN_RESTART_PAUSE_S = 3.0
MAX_RESTART_PAUSE_S = 8.0
STOP_TIMEOUT_S = 20.0
# Each kind of crowd alone stays below 120 MB; several at once may add up to the memory
# of the smallest machine of a gateway.
MAX_SOAK_BYTES = 200_000_000
ROLES = (*CONTROLLERS, "gateway")


class Caller:
    """An ordinary caller: it submits jobs on a connection until that is closed.

    Attributes
    ----------
    accepted : set of str
        Paths of the jobs that were accepted.
    """

    def __init__(self, address, number):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._number = number
        self._n_calls = 0
        self.accepted = set()

    async def run(self):
        """Submit jobs until cancelled."""
        while True:
            with contextlib.suppress(OSError, EOFError):
                await self._use_connection()
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _use_connection(self):
        reader, writer = await asyncio.open_connection(
            *self._address, local_addr=(CALLER_HOST, 0)
        )
        with contextlib.closing(writer):
            while True:
                self._n_calls += 1
                path = f"/keyed/{self._number:08x}{self._n_calls:08x}"
                headers = (
                    f"Content-Length: {len(JOB)}",
                    f"Authorization: Bearer {KEY}",
                )
                writer.write(head("POST", path, *headers) + JOB)
                answer = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = answer.partition(b"content-length:")[2].split(b"\r\n")[0]
                await reader.readexactly(int(length or 0))
                if answer.split()[1] == b"200":
                    self.accepted.add(path)
                await asyncio.sleep(CALL_INTERVAL_S)


class TestSoak(LinksCase):
    """Three controllers and a gateway under crowds, signals and restarts."""

    roles = ROLES
    extra_settings: ClassVar[dict[str, str]] = dict.fromkeys(
        CONTROLLERS, "[scheduling]\nmax_unconfirmed_vms = 100\n"
    )

    async def test_seeds(self):
        """Guards against what only shows when several things happen at once."""
        first, _, last = SEEDS.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            with self.subTest(seed=seed):
                await self.soak(seed)

    async def soak(self, seed):
        """Let everything happen for some time, then check all processes."""
        rng = random.Random(seed)
        version = 10 * seed
        document = json.dumps(plan(version)).encode()
        await self.wait_status("controller", "POST", "/config/replace", document)
        callers = [
            Caller(self.daemons.gateway, (seed << 8) + n) for n in range(N_CALLERS)
        ]
        work = [asyncio.create_task(caller.run()) for caller in callers]
        work.append(asyncio.create_task(self.run_crowds(random.Random(rng.random()))))
        work.append(asyncio.create_task(self.run_crowds(random.Random(rng.random()))))
        restarts = asyncio.create_task(self.run_restarts(rng, version))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DURATION_S):
                await asyncio.gather(*work)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        await restarts
        await self.check_end(seed, set().union(*(c.accepted for c in callers)))

    async def run_crowds(self, rng):
        """Send one crowd after the other, each to one of the processes."""
        while True:
            crowd = rng.choice(
                (
                    self.send_chunks,
                    self.send_short_bodies,
                    self.send_pipelined,
                    self.send_frames_of(lambda: reset_streams("not the secret")),
                    self.send_frames_of(pings),
                    self.send_frames_of(full_window),
                )
            )
            with contextlib.suppress(OSError):
                await crowd(rng.choice(ROLES))
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))

    def send_frames_of(self, new_frames):
        """Return a crowd at the port for peers."""
        return lambda role: self.send_crowd(role, new_frames)

    async def send_chunks(self, role):
        """Send chunks of one byte."""
        start = head("POST", "/config/replace", CHUNKED)
        await self.crowd_of(role).send(N_CLIENTS, start + CHUNK * 2_000)

    async def send_short_bodies(self, role):
        """Send bodies that stop short."""
        start = head("POST", "/config/replace", "Content-Length: 4000000")
        await self.crowd_of(role).send(N_CLIENTS, start, 3_000_000)

    async def send_pipelined(self, role):
        """Send requests without waiting for answers."""
        await self.crowd_of(role).send(N_CLIENTS, head("GET", "/config/read") * 200)

    async def run_restarts(self, rng, version):
        """Stop or kill one controller after the other, and change the plan meanwhile.

        The next one stops when the one before has been started again.
        """
        deadline = asyncio.get_running_loop().time() + DURATION_S
        while asyncio.get_running_loop().time() < deadline:
            role = rng.choice(CONTROLLERS)
            process = self.daemons.processes[role]
            process.send_signal(rng.choice((signal.SIGTERM, signal.SIGKILL)))
            version += 1
            document = json.dumps(plan(version)).encode()
            others = [name for name in CONTROLLERS if name != role]
            await self.call(rng.choice(others), "POST", "/config/replace", document)
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
            # A process that has just been started has no handler for the signal yet.
            for name in (*others, "gateway"):
                self.daemons.processes[name].send_signal(signal.SIGHUP)
            self.daemons.start(role)
            await asyncio.sleep(rng.uniform(MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S))

    async def check_end(self, seed, accepted):
        """Check the bounds, and that each accepted job is known."""
        path = f"/keyed/{seed:08x}ffffffff"
        status = await self.wait_status("gateway", "POST", path, JOB)
        await self.check_bounds(
            asyncio.sleep(0, status), max_resident_bytes=MAX_SOAK_BYTES
        )
        self.assertEqual(status, 200)
        lost = [
            path
            for path in sorted(accepted)
            if await self.wait_status("gateway", "GET", path, b"") != 200
        ]
        print(f"seed {seed}: {len(accepted)} jobs accepted, {len(lost)} not known")
        self.assertEqual(lost, [])


# The classes of the imported modules have tests of their own there.
del LinksCase, MemoryCase
