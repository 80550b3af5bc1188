"""A system of processes that grows while its resource usage is measured."""

import http.client
import json
import statistics
import time
from collections.abc import Callable
from pathlib import Path

from .capacity_probe import Counters, read_memory_kb, sample
from .fleet_processes import FleetProcesses

__all__ = ["ROLES", "MeasuredFleet", "Role", "print_fit"]

N_POOLS_AT_DESIGN = 108
N_TEAMS_AT_DESIGN = 90
N_VMS_AT_DESIGN = 680
N_ACCELERATORS_AT_DESIGN = 1_400
N_DATA_CENTRES = 7
N_VMS_PER_RACK = 4
N_ENDPOINTS_PER_PROCESS = 85
POLL_S = 0.005
TIMEOUT_S = 30.0
SETTLE_S = 6.0


class Role:
    """Names of the process roles that are reported separately."""

    LEADER = "leader"
    FOLLOWER = "follower"
    ENTRY = "entry"


ROLES = (Role.LEADER, Role.FOLLOWER, Role.ENTRY)


class MeasuredFleet:
    """The processes of one system and the resources that are declared in it.

    Parameters
    ----------
    folder : Path
        Folder for all files of the system.
    n_entries : int
        Number of entries, in addition to three replicas.
    """

    def __init__(self, folder: Path, n_entries: int) -> None:
        self.folder = folder
        self.system = FleetProcesses(folder, n_entries=n_entries)
        self._n_declared = {"vms": 0, "pools": 0, "teams": 0}
        self._n_endpoints = 0
        self._link_ports = frozenset(self._read_peer_ports())

    def _read_peer_ports(self):
        for name in (*self.system.replica_ids, *self.system.entry_ids):
            text = (self.folder / f"{name}.ini").read_text()
            after = text.split("[peers]\nlisten = ")[1]
            yield int(after.splitlines()[0].rpartition(":")[2])

    def start(self) -> None:
        """Start every process and wait until all entries are ready."""
        self.system.bootstrap()
        self.system.start()
        self.system.wait_ready()

    # Declared resources and endpoints.

    def declare(self, n_vms: int) -> None:
        """Declare resources up to a number of VMs.

        Pools and teams grow in the same proportion to the VMs as at design size.
        """
        share = n_vms / N_VMS_AT_DESIGN
        n_desired = {
            "pools": round(share * N_POOLS_AT_DESIGN),
            "vms": n_vms,
            "teams": round(share * N_TEAMS_AT_DESIGN),
        }
        documents = []
        for kind, count in n_desired.items():
            for i in range(self._n_declared[kind], count):
                documents += _resource_documents(kind, i, n_desired["pools"])
            self._n_declared[kind] = count
        path = self.folder / "declared.json"
        path.write_text(json.dumps(documents))
        self.system.cli("apply", str(path), "--wait")

    def add_endpoints(self, count: int) -> None:
        """Start stand-in endpoints up to a number, one on each VM.

        Each endpoint process gets the entries' addresses in another order, so that
        the processes announce themselves to different entries first.
        """
        n_pools = self._n_declared["pools"]
        while self._n_endpoints < count:
            begin = self._n_endpoints
            end = min(count, begin + N_ENDPOINTS_PER_PROCESS)
            endpoints = [
                f"e-{i},service-{i % n_pools},vm-{i:04},8" for i in range(begin, end)
            ]
            addresses = list(self.system.http_addresses.items())
            offset = begin // N_ENDPOINTS_PER_PROCESS % len(addresses)
            self.system.http_addresses = dict(addresses[offset:] + addresses[:offset])
            self.system.add_endpoints(f"endpoints-{begin}", endpoints)
            self.system.http_addresses = dict(addresses)
            self._n_endpoints = end

    # Processes and their resource usage.

    def pids(self) -> dict[str, int]:
        """Return the process ids of replicas and entries by name."""
        names = (*self.system.replica_ids, *self.system.entry_ids)
        return {name: self.system.processes[name].pid for name in names}

    def leader(self) -> str:
        """Return the id of the leading replica."""
        return self.get("/v1/status")["leader_id"]

    def names_of_role(self, role: str) -> list[str]:
        """Return the names of a role's processes."""
        if role == Role.ENTRY:
            return self.system.entry_ids
        leader = self.leader()
        if role == Role.LEADER:
            return [leader]
        return [name for name in self.system.replica_ids if name != leader]

    def memory_kb(self) -> dict[str, tuple[int, int]]:
        """Return resident and anonymous memory in kB of each role's largest process."""
        pids = self.pids()
        memory = {}
        for role in ROLES:
            memory[role] = max(
                read_memory_kb(pids[n]) for n in self.names_of_role(role)
            )
        return memory

    def measure_usage(self, seconds: float) -> dict[str, Counters]:
        """Return the resource usage of each process over some seconds."""
        return self.measure_usage_while(lambda: time.sleep(seconds))

    def measure_usage_while(self, run: Callable[[], None]) -> dict[str, Counters]:
        """Return the resource usage of each process while `run` runs."""
        pids = self.pids()
        began_at = time.monotonic()
        begin = sample(list(pids.values()), self._link_ports)
        run()
        end = sample(list(pids.values()), self._link_ports)
        elapsed_s = time.monotonic() - began_at
        return {n: Counters(begin[pid], end[pid], elapsed_s) for n, pid in pids.items()}

    def mean_by_role(
        self, counters: dict[str, Counters], attribute: str
    ) -> dict[str, float]:
        """Return the mean of a counter over the processes of each role."""
        return {
            role: statistics.fmean(
                getattr(counters[name], attribute) for name in self.names_of_role(role)
            )
            for role in ROLES
        }

    # Requests of operators.

    def get(self, path: str, entry_id: str = "entry-1") -> dict:
        """Send a GET request to an entry and return the decoded answer."""
        return self._exchange(entry_id, "GET", path)

    def _exchange(
        self, entry_id: str, method: str, path: str, body: dict | None = None
    ) -> dict:
        conn = http.client.HTTPConnection(
            self.system.http_addresses[entry_id], timeout=TIMEOUT_S
        )
        headers = {"Authorization": f"Bearer {self.system.operator_token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        content = None if body is None else json.dumps(body)
        try:
            conn.request(method, path, content, headers)
            answer = conn.getresponse()
            value = json.loads(answer.read())
        finally:
            conn.close()
        if answer.status != http.HTTPStatus.OK:
            raise RuntimeError(f"{method} {path}: {answer.status} {value}")
        return value

    def put_team(self, name: str, limit: int, entry_id: str = "entry-1") -> dict:
        """Write a team's limit and return the decoded answer."""
        return self.put("teams", name, {"limit": limit}, entry_id)

    def put(self, kind: str, name: str, spec: dict, entry_id: str = "entry-1") -> dict:
        """Write a resource, whatever its version, and return the decoded answer."""
        body = {"spec": spec}
        return self._exchange(entry_id, "PUT", f"/v1/{kind}/{name}", body)

    def time_team_change(self, limit: int) -> tuple[float, float]:
        """Change a team's limit and time it.

        Returns
        -------
        tuple of float
            Milliseconds from the request to its answer, and from the answer until the
            first entry reports the change as in force.

        Raises
        ------
        TimeoutError
            If the change is not in force `TIMEOUT_S` after its answer.
        """
        began_at = time.monotonic()
        record = self.put_team("team-00", limit)
        accepted_at = time.monotonic()
        while self.get("/v1/status")["in_force_index"] < record["version"]:
            if time.monotonic() > accepted_at + TIMEOUT_S:
                raise TimeoutError(
                    "the change was accepted but did not come into force in time"
                )
            time.sleep(POLL_S)
        ended_at = time.monotonic()
        return 1_000 * (accepted_at - began_at), 1_000 * (ended_at - accepted_at)

    def disk_bytes(self, name: str) -> int:
        """Return the size of a replica's data folder in bytes."""
        folder = self.folder / f"{name}.data"
        return sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())

    def close(self) -> None:
        """Kill all processes."""
        self.system.close()


def _resource_documents(kind: str, i: int, n_pools: int) -> list[dict]:
    if kind == "pools":
        queue = {"pool": f"pool-{i:03}", "service": f"service-{i}"}
        return [
            {"kind": "pools", "name": f"pool-{i:03}", "spec": {"max_unavailable": 1}},
            {"kind": "queues", "name": f"queue-{i:03}", "spec": queue},
        ]
    if kind == "teams":
        return [{"kind": "teams", "name": f"team-{i:02}", "spec": {"limit": 100}}]
    spec = {
        "pool": f"pool-{i % n_pools:03}",
        "data_centre": f"dc-{i // N_VMS_PER_RACK % N_DATA_CENTRES}",
        "rack": f"rack-{i // N_VMS_PER_RACK:03}",
        "accelerators": 2 + (i % 17 == 0),
    }
    return [{"kind": "vms", "name": f"vm-{i:04}", "spec": spec}]


def print_fit(name: str, sizes: list[int], values: list[float], unit: str) -> None:
    """Print sizes, values and the least-squares line through them."""
    fit = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - fit.intercept - fit.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    points = " ".join(
        f"{size}:{value:.5g}" for size, value in zip(sizes, values, strict=True)
    )
    print(
        f"{name} [{unit}] {points} | slope {fit.slope:.5g} "
        f"intercept {fit.intercept:.5g} largest residual {residual:.3g}",
        flush=True,
    )
