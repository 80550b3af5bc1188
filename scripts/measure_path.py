"""Measure what the path through an entry adds to a short request.

Requests through one entry process and direct calls of the same stand-in endpoints are
measured in one run, with the same numbers of callers, since results differ between
runs on a noisy machine.
"""

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from hdrh.histogram import HdrHistogram

from redwingslip.endpoints import EndpointCall, EndpointClient
from redwingslip.http import ClientLimits, ClientPool, ClientRequest
from redwingslip.peers import Permit
from scripts.fleet_processes import FleetProcesses

N_VMS = 4
SLOTS = 256
NO_EXPIRY = timedelta(days=365)
MAX_LATENCY_US = 60_000_000
N_CALLERS = (1, 16, 128)
MAX_WORKERS = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def declare(fleet: FleetProcesses) -> str:
    """Declare one pool with its VMs, a team and a queue; return the team's key."""
    documents = [
        {"kind": "pools", "name": "p", "spec": {}},
        {"kind": "teams", "name": "t", "spec": {"limit": 10_000}},
    ]
    for i in range(N_VMS):
        spec = {"pool": "p", "data_centre": "dc-1", "slots": SLOTS}
        documents.append({"kind": "vms", "name": f"vm-{i}", "spec": spec})
    queue = {"pool": "p", "service": "s", "urgent": True}
    documents.append({"kind": "queues", "name": "q", "spec": queue})
    path = fleet.folder / "fleet.json"
    path.write_text(json.dumps(documents))
    fleet.cli("apply", str(path))
    return json.loads(fleet.cli("key", "grant", "t").stdout)["secret"]


def start_endpoints(fleet: FleetProcesses) -> list[tuple[str, str]]:
    """Start each endpoint in its own process; return addresses and incarnations."""
    endpoints = []
    for i in range(N_VMS):
        fleet.add_endpoints(f"endpoint-{i}", [f"e-{i},s,vm-{i},{SLOTS}"])
    for i in range(N_VMS):
        out = fleet.folder / f"endpoint-{i}.out"
        while not out.read_text().strip():
            time.sleep(0.05)
        _, address, incarnation = out.read_text().split()[:3]
        endpoints.append((address, incarnation))
    return endpoints


async def call_directly(endpoints, until: float, latencies_us: HdrHistogram) -> None:
    """Call the endpoints in turn, without an entry, and record the latencies."""
    client = EndpointClient(ClientLimits())
    n_calls = 0
    while time.monotonic() < until:
        address, incarnation = endpoints[n_calls % len(endpoints)]
        n_calls += 1
        permit = Permit(
            permit_id=os.urandom(8).hex(),
            request_id=os.urandom(8).hex(),
            pool="p",
            epoch=10**9,
            endpoint_id="e",
            incarnation=incarnation,
            address=address,
            fencing_token=10**9,
            start_by=NO_EXPIRY,
            start_within=NO_EXPIRY,
            lease=timedelta(seconds=30),
        )
        call = EndpointCall(
            permit=permit,
            path="/run",
            team="t",
            content_type="application/json",
            body=b"{}",
            timeout=timedelta(seconds=30),
        )
        began = time.perf_counter()
        await client.call(call)
        latencies_us.record_value(int((time.perf_counter() - began) * 1e6))
    await client.close()


async def call_entry(
    address: str, key: str, until: float, latencies_us: HdrHistogram
) -> None:
    """Send requests through an entry and record the latencies.

    Raises
    ------
    RuntimeError
        If the entry answers with another status than 200.
    """
    pool = ClientPool(ClientLimits())
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    req = ClientRequest(
        address=address,
        method="POST",
        path="/v1/queues/q/requests",
        headers=headers,
        body=b"{}",
        timeout=timedelta(seconds=30),
    )
    while time.monotonic() < until:
        began = time.perf_counter()
        answer = await pool.exchange(req)
        if answer.status != 200:
            raise RuntimeError(f"{answer.status}: {answer.body[:200]}")
        latencies_us.record_value(int((time.perf_counter() - began) * 1e6))
    await pool.close()


async def run_worker(job: dict) -> None:
    """Run the callers of one process and print their encoded histogram."""
    latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    until = time.monotonic() + job["seconds"]
    async with asyncio.TaskGroup() as group:
        for _ in range(job["n_callers"]):
            if job["direct"]:
                group.create_task(call_directly(job["endpoints"], until, latencies_us))
            else:
                group.create_task(
                    call_entry(job["entry"], job["key"], until, latencies_us)
                )
    print(latencies_us.encode().decode())


def measure(job: dict, n_callers: int, pid: int) -> dict:
    """Run the callers in up to `MAX_WORKERS` processes and return the figures.

    The processor time is that of the process `pid`, the entry.
    """
    n_workers = min(MAX_WORKERS, n_callers)
    cpu_before = cpu_seconds(pid)
    began = time.monotonic()
    workers = []
    for _ in range(n_workers):
        worker_job = {**job, "n_callers": n_callers // n_workers}
        command = [sys.executable, "-m", "scripts.measure_path", "--job"]
        workers.append(
            subprocess.Popen([*command, json.dumps(worker_job)], stdout=subprocess.PIPE)
        )
    latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    for worker in workers:
        out, _ = worker.communicate()
        latencies_us.decode_and_add(out.strip())
    cpu = cpu_seconds(pid) - cpu_before
    rate = latencies_us.get_total_count() / job["seconds"]
    return {
        "p50_ms": latencies_us.get_value_at_percentile(50) / 1000,
        "p99_ms": latencies_us.get_value_at_percentile(99) / 1000,
        "rate": rate,
        "cpu_cores": cpu / (time.monotonic() - began),
        "per_core": latencies_us.get_total_count() / cpu if cpu else 0.0,
    }


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def main() -> int:
    """Run the measurement and print the table, or run one process of callers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--job", help="run as one process of callers, with this JSON")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--entries", type=int, default=1)
    args = parser.parse_args()
    if args.job:
        asyncio.run(run_worker(json.loads(args.job)))
        return 0
    fleet = FleetProcesses(Path(tempfile.mkdtemp()), n_entries=args.entries)
    try:
        fleet.bootstrap()
        fleet.start()
        fleet.wait_ready()
        key = declare(fleet)
        endpoints = start_endpoints(fleet)
        time.sleep(3.0)
        status = json.loads(fleet.cli("status").stdout)
        # With several entries, an entry that is not the dispatcher is measured, so that
        # the cost of obtaining permits from the dispatcher is included.
        measured = next(
            s for s in status if args.entries == 1 or not s["dispatched_pools"]
        )
        entry_id = measured["entry_id"]
        pid = fleet.processes[entry_id].pid
        job = {
            "seconds": args.seconds,
            "endpoints": endpoints,
            "entry": fleet.http_addresses[entry_id],
            "key": key,
        }
        print("callers  route    p50 ms  p99 ms  requests/s  per core of the entry")
        # Requests through the entry come first: direct calls raise the fencing token at
        # the endpoints, which then refuse the entry's calls.
        rows = []
        for n_callers in N_CALLERS:
            rows.append(
                (n_callers, "entry", measure({**job, "direct": False}, n_callers, pid))
            )
        for n_callers in N_CALLERS:
            rows.append(
                (n_callers, "direct", measure({**job, "direct": True}, n_callers, pid))
            )
        for n_callers, route, row in sorted(rows, key=lambda row: row[0]):
            per_core = f"{row['per_core']:8.0f}" if route == "entry" else "       -"
            print(
                f"{n_callers:7}  {route:7} {row['p50_ms']:7.2f} {row['p99_ms']:7.2f}"
                f" {row['rate']:11.0f} {per_core}"
            )
    finally:
        fleet.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
