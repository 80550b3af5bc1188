"""Run a whole system as separate processes on loopback addresses.

The demo, the measurements and the failure tests use it.
"""

import hashlib
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from redwingslip.settings import TlsSettings

__all__ = ["FleetProcesses", "free_ports"]

ROOT = Path(__file__).resolve().parent.parent
POLL_S = 0.05
TLS_FILES = ("certificate", "key", "authority")

COMMON_SETTINGS = """\
[process]
id = {id}
data_centre = {data_centre}
[peers]
listen = {address}
[replicas]
{replicas}
[cluster]
secret_file = {folder}/cluster.secret
[tls]
{tls}
[logs]
path = {folder}/{id}.jsonl
"""

REPLICA_SETTINGS = """\
[replica]
data_folder = {folder}/{id}.data
"""

ENTRY_SETTINGS = """\
[http]
listen = {http}
[operators]
token_sha256 = {operator_hash}
[endpoints]
token_sha256 = {endpoint_hash}
[platform]
address = {platform}
"""


def free_ports(n_ports: int) -> list[int]:
    """Return TCP ports on 127.0.0.1 that no process listens on."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(n_ports)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class FleetProcesses:
    """Starts, stops, kills and freezes the processes of one system.

    Parameters
    ----------
    folder : Path
        Folder for settings files, data folders, logs and the endpoints' run records.
    n_replicas, n_entries : int
        Number of processes of each role.
    data_centres : tuple of str
        Data centres that are assigned to the processes of each role in turn.
    tls : TlsSettings or None
        Certificate files that all processes share; None for unencrypted connections.

    Attributes
    ----------
    processes : dict of str to subprocess.Popen
        Processes that were started and not killed or terminated since, by name.
    http_addresses : dict of str to str
        HTTP address (``HOST:PORT``) of each entry, by name.
    platform_address : str
        Address at which the entries expect the platform.
    """

    def __init__(
        self,
        folder: Path,
        *,
        n_replicas: int = 3,
        n_entries: int = 4,
        data_centres: tuple[str, ...] = ("dc-1", "dc-2", "dc-3", "dc-4"),
        tls: TlsSettings | None = None,
    ) -> None:
        self._tls = tls
        self.folder = folder
        self.operator_token = secrets.token_hex(16)
        self.endpoint_token = secrets.token_hex(16)
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self.replica_ids = [f"replica-{i + 1}" for i in range(n_replicas)]
        self.entry_ids = [f"entry-{i + 1}" for i in range(n_entries)]
        ports = free_ports(n_replicas + 2 * n_entries + 1)
        self.platform_address = f"127.0.0.1:{ports.pop()}"
        self.http_addresses: dict[str, str] = {}
        self._write_settings(ports, data_centres)

    def _write_settings(self, ports: list[int], data_centres: tuple[str, ...]) -> None:
        folder = self.folder
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "cluster.secret").write_text(secrets.token_hex(16))
        (folder / "operator.token").write_text(self.operator_token)
        addresses = {
            name: f"127.0.2.{i + 1}:{ports.pop()}"
            for i, name in enumerate(self.replica_ids)
        }
        replicas = "\n".join(f"{name} = {at}" for name, at in addresses.items())
        common = {
            "folder": folder,
            "replicas": replicas,
            "platform": self.platform_address,
            "tls": self._tls_options(),
            "operator_hash": hashlib.sha256(self.operator_token.encode()).hexdigest(),
            "endpoint_hash": hashlib.sha256(self.endpoint_token.encode()).hexdigest(),
        }
        for i, name in enumerate(self.replica_ids):
            self._write_process_settings(
                name,
                REPLICA_SETTINGS,
                id=name,
                address=addresses[name],
                data_centre=data_centres[i % len(data_centres)],
                **common,
            )
        for i, name in enumerate(self.entry_ids):
            host = f"127.0.1.{i + 1}"
            self.http_addresses[name] = f"{host}:{ports.pop()}"
            self._write_process_settings(
                name,
                ENTRY_SETTINGS,
                id=name,
                address=f"{host}:{ports.pop()}",
                http=self.http_addresses[name],
                data_centre=data_centres[i % len(data_centres)],
                **common,
            )

    def _tls_options(self) -> str:
        if self._tls is None:
            return "enabled = no"
        options = msgspec.structs.asdict(self._tls)
        lines = [f"{name} = {options[name]}" for name in TLS_FILES]
        return "\n".join(lines)

    def _write_process_settings(
        self, name: str, template: str, **values: object
    ) -> None:
        path = self.folder / f"{name}.ini"
        path.write_text((COMMON_SETTINGS + template).format(**values))
        role = "replica" if name in self.replica_ids else "entry"
        self._commands[name] = ["-m", "redwingslip", role, str(path)]

    # Starting and stopping processes.

    def bootstrap(self) -> None:
        """Initialise the replicas' data folders with ``replica-init``."""
        for name in self.replica_ids:
            path = str(self.folder / f"{name}.ini")
            command = [sys.executable, "-m", "redwingslip", "replica-init", path]
            subprocess.run(command, check=True, capture_output=True, env=self._env())

    def start(self, *names: str) -> None:
        """Start the named processes, or all replicas and entries by default."""
        for name in names or (*self.replica_ids, *self.entry_ids):
            out = open(self.folder / f"{name}.out", "ab")  # noqa: SIM115
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self._commands[name]],
                stdout=out,
                stderr=subprocess.STDOUT,
                env=self._env(),
            )
            out.close()

    def add_endpoints(self, name: str, endpoints: list[str], *options: str) -> None:
        """Start one process that serves stand-in endpoints.

        Parameters
        ----------
        name : str
            Name of the process, which records its runs in ``NAME.runs``.
        endpoints : list of str
            One ``ID,SERVICE,VM,SLOTS`` for each endpoint.
        options : str
            Further command line options of the stand-in.
        """
        command = ["-m", "redwingslip.standins.endpoint"]
        for address in self.http_addresses.values():
            command += ["--entry", address]
        command += ["--token", self.endpoint_token]
        command += ["--record", str(self.folder / f"{name}.runs")]
        for endpoint in endpoints:
            command += ["--endpoint", endpoint]
        self._commands[name] = [*command, *options]
        self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> subprocess.Popen:
        """Send SIGTERM to a process and return it without waiting for its exit."""
        process = self.processes.pop(name)
        process.terminate()
        return process

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill all processes that still run."""
        for name in list(self.processes):
            self.kill(name)

    # Requests of operators.

    def cli(self, *args: str, check: bool = True) -> subprocess.CompletedProcess:
        """Run an operator command and return the completed process with its output.

        Raises
        ------
        RuntimeError
            If `check` is set and the command exits with a non-zero status.
        """
        scheme = "http" if self._tls is None else "https"
        live = [
            f"{scheme}://{at}"
            for name, at in self.http_addresses.items()
            if name in self.processes
        ]
        command = [sys.executable, "-m", "redwingslip", "--server", ",".join(live)]
        if self._tls is not None:
            command += ["--authority", str(self._tls.authority)]
        command += ["--token-file", str(self.folder / "operator.token")]
        command += ["--output", "json", *args]
        result = subprocess.run(
            command, capture_output=True, text=True, env=self._env(), timeout=90
        )
        if check and result.returncode:
            raise RuntimeError(
                f"{args} exited with {result.returncode}: {result.stderr}"
            )
        return result

    def wait_ready(self, *, timeout_s: float = 30.0) -> None:
        """Wait until each running entry reports that it is ready.

        Raises
        ------
        TimeoutError
            If an entry is not ready within `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        for name in self.entry_ids:
            while name in self.processes and not is_ready(self.http_addresses[name]):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} did not become ready in time")
                time.sleep(POLL_S)

    def _env(self) -> dict[str, str]:
        return {**os.environ, "PYTHONPATH": str(ROOT / "src")}


def is_ready(address: str) -> bool:
    """Return whether an entry answers ``GET /readyz`` with 200."""
    host, _, port = address.rpartition(":")
    request = f"GET /readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    try:
        with socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.sendall(request.encode())
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
