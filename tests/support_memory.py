"""Support for tests of bounded memory: daemons as processes, and crowds of clients."""

import asyncio
import contextlib
import os
import subprocess
import sys
from pathlib import Path

from scripts.fleet_processes import ROOT, free_ports

HOST = "jobs.example"
KEY = "k-forges"
# The crowd sends from one address, ordinary callers from another.
CROWD_HOST = "127.0.0.31"
CALLER_HOST = "127.0.0.32"
PIECE = b" " * 65_536
SEND_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 15.0
START_TIMEOUT_S = 20.0
CONTROLLERS = ("controller", "controller_2", "controller_3")

SETTINGS = """\
[process]
id = {name}
data_centre = z1
[peers]
listen = {host}:{peers}
[cluster]
secret_file = {folder}/secret
seeds = 127.0.0.21:{seed}
is_founding = yes
[logs]
path = {folder}/{name}.jsonl
[http]
max_total_body_bytes = 16 MiB
max_connections = 100
[listen]
calls = {host}:{calls}
"""


class Daemons:
    """Up to three controllers and a gateway on loopback addresses, each a process.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and the data of the controller.
    extra : dict of str to str
        Further settings by role.
    """

    def __init__(self, folder: Path, extra: dict[str, str] | None = None):
        self.folder = folder
        self.processes = {}
        self._extra = extra or {}
        peers, seed, calls, ready, submitters = free_ports(5)
        self._ports = {"peers": peers, "seed": seed}
        self.gateway = f"127.0.0.22:{calls}"
        self.submitters = f"127.0.0.22:{submitters}"
        self.controller = f"127.0.0.21:{seed}"
        self.controller_2 = f"127.0.0.23:{seed}"
        self.controller_3 = f"127.0.0.24:{seed}"
        self._peers = peers
        (folder / "secret").write_text("tests")
        self._roles = {
            "gateway": (
                self.gateway,
                f"readiness = 127.0.0.22:{ready}\nsubmitters = {self.submitters}\n",
            ),
            **{
                name: (
                    getattr(self, name),
                    f"[replica]\ndata_folder = {folder}/{name}.data\n",
                )
                for name in CONTROLLERS
            },
        }

    def start(self, role):
        """Start the daemon of a role."""
        address, rest = self._roles[role]
        host, _, calls = address.rpartition(":")
        text = SETTINGS.format(
            name=role, host=host, calls=calls, folder=self.folder, **self._ports
        )
        path = self.folder / f"{role}.ini"
        path.write_text(text + rest + self._extra.get(role, ""))
        with open(self.folder / f"{role}.out", "ab") as out:
            self.processes[role] = subprocess.Popen(
                [sys.executable, "-m", "redwingslip", role.split("_")[0], str(path)],
                stdout=out,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            )

    def links(self, role):
        """Return host and port at which a daemon takes links of other processes."""
        return self._roles[role][0].rpartition(":")[0], self._peers

    def close(self):
        """Kill the processes that were started."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def output(self, role):
        """Return what a daemon has written to its standard streams."""
        return (self.folder / f"{role}.out").read_text()

    def events(self, role, name):
        """Return the events with a name that a daemon has logged."""
        path = self.folder / f"{role}.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        return [line for line in lines if f'"{name}"' in line]

    def peak_bytes(self, role):
        """Return the largest resident size that a process has had."""
        pid = self.processes[role].pid
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError(f"{role} has no resident memory")

    def n_descriptors(self, role):
        """Return the number of open descriptors of a process."""
        return len(os.listdir(f"/proc/{self.processes[role].pid}/fd"))

    async def wait_answering(self, address, path="/"):
        """Wait until a daemon gives any answer."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (await ask(address, "GET", path))[0]:  # noqa: ASYNC110
                await asyncio.sleep(0.1)


def head(method, path, *headers):
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers, "", ""]
    return "\r\n".join(lines).encode()


async def ask(address, method, path, body=b"", *, key=""):
    """Send a request on a connection of its own; return status and body, 0 for none."""
    host, _, port = address.rpartition(":")
    headers = ["Connection: close", f"Content-Length: {len(body)}"]
    if key:
        headers.append(f"Authorization: Bearer {key}")
    answer = b""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(CALLER_HOST, 0)
            )
            with contextlib.closing(writer):
                writer.write(head(method, path, *headers) + body)
                answer = await reader.read()
    first, _, content = answer.partition(b"\r\n\r\n")
    return int(first.split()[1]) if first else 0, content


class Crowd:
    """Clients that send a part of a request and keep their connections open."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._writers = []

    async def send(self, n_clients, start, n_body_bytes=0, *, is_chunked=False):
        """Let each client send a start and a body, as far as the server takes it."""
        await asyncio.gather(
            *(
                self._send(start, n_body_bytes, is_chunked=is_chunked)
                for _ in range(n_clients)
            )
        )

    async def _send(self, start, n_body_bytes, *, is_chunked):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    *self._address, local_addr=(CROWD_HOST, 0)
                )
                self._writers.append(writer)
                writer.write(start)
                n_left = n_body_bytes
                while n_left:
                    piece = PIECE[:n_left]
                    n_left -= len(piece)
                    if is_chunked:
                        piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                    writer.write(piece)
                    await writer.drain()
                if is_chunked:
                    writer.write(b"0\r\n\r\n")
                await writer.drain()

    async def close(self):
        """Close the connections."""
        for writer in self._writers:
            writer.transport.abort()
